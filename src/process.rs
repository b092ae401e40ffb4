//! Measures the processor time, memory and file descriptors of a process from `/proc`.

use eyre::{WrapErr, eyre};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Clock ticks per second (`USER_HZ`), the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The index of `utime` among the fields of `/proc/PID/stat` after the program's name. `stime`
/// follows it.
const UTIME_FIELD: usize = 11;

/// The resource use of a process: processor time since its start, and current memory and open
/// descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Usage {
    /// User and system processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in KiB.
    pub resident: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the resource use of a running process.
    ///
    /// # Errors
    ///
    /// There is no such process, or it can't be inspected.
    pub fn of(pid: u32) -> eyre::Result<Self> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            std::fs::read_to_string(&path).wrap_err(path)
        };
        let cpu =
            cpu_seconds(&read("stat")?).ok_or_else(|| eyre!("can't parse /proc/{pid}/stat"))?;
        let resident = resident_kib(&read("status")?)
            .ok_or_else(|| eyre!("no VmRSS in /proc/{pid}/status"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64;
        Ok(Self { cpu, resident, descriptors })
    }

    fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            resident: self.resident.max(other.resident),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// The interval at which a process is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Samples a process periodically and keeps its peak memory and peak number of descriptors.
#[derive(Debug)]
pub struct Sampler {
    pid: u32,
    initial: Usage,
    started: Instant,
    peak: watch::Receiver<Usage>,
}

impl Sampler {
    /// Starts to sample a process.
    ///
    /// # Errors
    ///
    /// There is no such process, or it can't be inspected.
    pub fn start(pid: u32) -> eyre::Result<Self> {
        let initial = Usage::of(pid)?;
        let (sender, peak) = watch::channel(initial);
        tokio::spawn(async move {
            while !sender.is_closed() {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                if let Ok(usage) = Usage::of(pid) {
                    sender.send_modify(|peak| *peak = peak.max(usage));
                }
            }
        });
        Ok(Self { pid, initial, started: Instant::now(), peak })
    }

    /// Stops sampling and reports what the process has used since sampling started.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn finish(self) -> eyre::Result<ProcessReport> {
        let after = Usage::of(self.pid)?;
        let Usage { resident, descriptors, .. } = self.peak.borrow().max(after);
        let cpu = after.cpu - self.initial.cpu;
        let core_share = cpu / self.started.elapsed().as_secs_f64();
        Ok(ProcessReport { pid: self.pid, cpu, core_share, resident, descriptors })
    }
}

/// The resource use of a process while it was sampled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ProcessReport {
    /// The process id.
    pub pid: u32,
    /// User and system processor time, in seconds.
    pub cpu: f64,
    /// Mean processor use as a fraction of one core; above 1 if several cores were used.
    pub core_share: f64,
    /// Peak resident memory, in KiB.
    pub resident: u64,
    /// Peak number of open file descriptors.
    pub descriptors: u64,
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The program's name is in parentheses and may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(UTIME_FIELD);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) / TICKS_PER_SECOND)
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
