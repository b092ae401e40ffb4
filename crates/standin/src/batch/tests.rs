use super::*;
use spindle_types::Model;

const MODEL: EngineModel = EngineModel {
    prefill_rate: 1_000.0,
    step_base: Duration::from_millis(10),
    step_slope: Duration::from_millis(1),
    slots: 2,
    queue: 2,
    step_tokens: 100,
    ..EngineModel::DEFAULT
};

fn job(name: &str, words: usize, end_offset: u32, priority: Priority) -> Job {
    let model = Model::try_from("m").unwrap();
    let prompt: String = (0..words).map(|word| format!("{name}{word} ")).collect();
    Job {
        blocks: PromptBlocks::of(&model, None, &prompt),
        imported: 0,
        first_offset: 0,
        end_offset,
        priority,
    }
}

/// Runs steps until all generations have ended. Returns for each step result its time in
/// milliseconds, the index of its generation, the offset and the number of prefilled tokens.
fn run(batch: &mut Batch, keys: &[JobKey]) -> Vec<(u128, usize, Option<u32>, Option<u32>)> {
    let (start, mut now) = (Instant::now(), Instant::now());
    let mut seen = Vec::new();
    while let Some(time) = batch.step_time() {
        now += time;
        for produced in batch.finish_step(now) {
            let job = keys.iter().position(|key| *key == produced.job).unwrap();
            let at = now.duration_since(start).as_millis();
            seen.push((at, job, produced.offset, produced.prefilled));
        }
    }
    seen
}

#[tokio::test(start_paused = true)]
async fn a_prompt_is_prefilled_in_chunks_and_then_decoded() {
    let mut batch = Batch::new(MODEL);
    let keys = [batch.submit(job("a", 250, 3, Priority::Interactive)).unwrap()];
    // Chunks of 100, 100 and 50 tokens at 1 ms a token, each in a step of 10 ms.
    let expected =
        vec![(280, 0, Some(0), Some(250)), (291, 0, Some(1), None), (302, 0, Some(2), None)];
    assert_eq!(expected, run(&mut batch, &keys));
}

#[tokio::test(start_paused = true)]
async fn a_cached_prefix_is_not_prefilled_again() {
    let mut batch = Batch::new(MODEL);
    let first = batch.submit(job("a", 64, 1, Priority::Interactive)).unwrap();
    run(&mut batch, &[first]);
    let keys = [batch.submit(job("a", 70, 1, Priority::Interactive)).unwrap()];
    let expected = vec![(16, 0, Some(0), Some(6))];
    assert_eq!(expected, run(&mut batch, &keys));
}

#[tokio::test(start_paused = true)]
async fn an_imported_cache_is_not_prefilled_again() {
    let mut batch = Batch::new(MODEL);
    let job = Job { imported: 60, ..job("a", 64, 1, Priority::Interactive) };
    let keys = [batch.submit(job).unwrap()];
    assert_eq!(vec![(14, 0, Some(0), Some(4))], run(&mut batch, &keys));
}

#[tokio::test(start_paused = true)]
async fn interactive_work_gets_a_slot_before_batch_work() {
    let mut batch = Batch::new(EngineModel { slots: 1, ..MODEL });
    let keys = [
        batch.submit(job("a", 1, 2, Priority::Batch)).unwrap(),
        batch.submit(job("b", 1, 2, Priority::Batch)).unwrap(),
        batch.submit(job("c", 1, 2, Priority::Interactive)).unwrap(),
    ];
    assert_eq!(Err(QueueFull), batch.submit(job("d", 1, 2, Priority::Interactive)));
    let order: Vec<usize> = run(&mut batch, &keys).into_iter().map(|(_, job, ..)| job).collect();
    assert_eq!(vec![2, 2, 0, 0, 1, 1], order);
}

#[tokio::test(start_paused = true)]
async fn prefill_slows_down_decoding_generations() {
    let mut batch = Batch::new(MODEL);
    let long = batch.submit(job("a", 1, 4, Priority::Interactive)).unwrap();
    batch.step_time();
    batch.finish_step(Instant::now());
    assert_eq!(Some(Duration::from_millis(11)), batch.step_time());
    let other = batch.submit(job("b", 50, 1, Priority::Interactive)).unwrap();
    assert_eq!(Some(Duration::from_millis(61)), batch.step_time());
    batch.cancel(other);
    batch.cancel(long);
    assert_eq!(None, batch.step_time());
}
