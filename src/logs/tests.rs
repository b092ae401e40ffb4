use super::*;
use std::sync::{Arc, Mutex};

/// Takes a while for each write, as a reader does on a busy machine.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_line_has_been_written_after_a_flush() {
    let slow = SlowOutput::default();
    let mut output = QueuedOutput::start(slow.clone());
    for line in 0..5 {
        output.write_all(format!("line={line}\n").as_bytes()).unwrap();
    }
    flush(&output.queue);
    let written = String::from_utf8(slow.0.lock().unwrap().clone()).unwrap();
    assert_eq!(written, "line=0\nline=1\nline=2\nline=3\nline=4\n");
}

#[test]
fn a_flush_does_not_wait_for_an_output_that_has_stalled() {
    let (queue, _receiver) = sync_channel::<Item>(1);
    queue.try_send(Item::Line(Vec::new())).unwrap();
    flush(&queue);
}
