//! What a process has used, as the operating system counts it.

use eyre::{WrapErr, eyre};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The clock ticks a second in which processor time is counted.
const TICKS_PER_SECOND: f64 = 100.0;

/// The place of the user ticks among the fields after the program's name.
const USER_TICKS_FIELD: usize = 11;

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in KiB.
    pub resident: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// What a running process has used.
    ///
    /// # Errors
    ///
    /// There is no such process, or it can't be inspected.
    pub fn of(pid: u32) -> eyre::Result<Self> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            std::fs::read_to_string(&path).wrap_err(path)
        };
        let cpu = cpu_seconds(&read("stat")?).ok_or_else(|| eyre!("process {pid}: stat"))?;
        let resident =
            resident_kib(&read("status")?).ok_or_else(|| eyre!("process {pid}: status"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64;
        Ok(Self { cpu, resident, descriptors })
    }

    fn highest(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            resident: self.resident.max(other.resident),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// The time between two readings of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Reads a process again and again, and keeps the highest memory and descriptors.
#[derive(Debug)]
pub struct Sampler {
    pid: u32,
    before: Usage,
    began: Instant,
    highest: watch::Receiver<Usage>,
}

impl Sampler {
    /// Starts to read a process.
    ///
    /// # Errors
    ///
    /// There is no such process, or it can't be inspected.
    pub fn start(pid: u32) -> eyre::Result<Self> {
        let before = Usage::of(pid)?;
        let (sender, highest) = watch::channel(before);
        tokio::spawn(async move {
            while !sender.is_closed() {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                if let Ok(usage) = Usage::of(pid) {
                    sender.send_modify(|highest| *highest = highest.highest(usage));
                }
            }
        });
        Ok(Self { pid, before, began: Instant::now(), highest })
    }

    /// What the process has used since the start.
    ///
    /// # Errors
    ///
    /// The process has gone.
    pub fn finish(self) -> eyre::Result<ProcessReport> {
        let after = Usage::of(self.pid)?;
        let Usage { resident, descriptors, .. } = self.highest.borrow().highest(after);
        let cpu = after.cpu - self.before.cpu;
        let core_share = cpu / self.began.elapsed().as_secs_f64();
        Ok(ProcessReport { pid: self.pid, cpu, core_share, resident, descriptors })
    }
}

/// What a process used over a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ProcessReport {
    /// The process.
    pub pid: u32,
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Processor time as a share of one core.
    pub core_share: f64,
    /// The most resident memory, in KiB.
    pub resident: u64,
    /// The most file descriptors.
    pub descriptors: u64,
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The program's name is in parentheses and may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TICKS_FIELD);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) / TICKS_PER_SECOND)
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
