//! A soak test: rounds of load under random faults from a seed, with checks of every guarantee.

use crate::deployment::Example;
use crate::experiment::{StrategyReport, guarantee_table, parse, run};
use crate::load::{Progress, RequestOutcome};
use crate::settings::{ExperimentSettings, Fault, FaultSettings};
use eyre::ensure;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_types::Span;
use std::time::Duration;

/// The time over which the requests of a round arrive.
const ROUND_DURATION: Span = Span::from_secs(20);

/// The time between the starts of successive faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// The time from the loss of a data centre's upstreams to the start of their replacements.
const REFILL_DELAY: Duration = Duration::from_secs(3);

/// The number of data centres of an example deployment.
const DATA_CENTRES: usize = 4;

/// The experiment document of every round; `{}` is replaced by the example and its
/// arrival rate.
const BASE_DOCUMENT: &str = "{ title: soak, rates: {}, daemons: 4 }";

/// The parameters of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// The example deployment to start.
    pub example: Example,
    /// The random seed of load and faults in the first round. Each round adds 1.
    pub seed: u64,
    /// The number of rounds.
    pub rounds: u32,
    /// The arrival rate, in requests per second.
    pub rate: f64,
}

impl Soak {
    /// Runs every round, prints the guarantee table, and fails if a guarantee was broken.
    ///
    /// # Errors
    ///
    /// A deployment does not start, or a guarantee was broken.
    pub async fn execute(self) -> eyre::Result<()> {
        let mut reports = Vec::new();
        for round in 0..self.rounds {
            let settings = self.round_settings(round)?;
            reports.extend(run(&settings, Progress::Shown).await?);
            println!("round {round} of seed {}: {}", self.seed, summary(&reports));
        }
        println!("\n{}", guarantee_table(&reports));
        let violations: u64 = reports.iter().map(violations).sum();
        ensure!(violations == 0, "guarantees were broken {violations} times");
        Ok(())
    }

    fn round_settings(self, round: u32) -> eyre::Result<ExperimentSettings> {
        // The base document is only valid once its rates are filled in.
        let mut settings =
            parse(&BASE_DOCUMENT.replace("{}", &format!("{{ {}: {} }}", self.example, self.rate)))?;
        settings.traffic.seed = self.seed + u64::from(round);
        settings.traffic.duration = ROUND_DURATION;
        let mut random = ChaCha8Rng::seed_from_u64(settings.traffic.seed);
        let mut at = FAULT_INTERVAL / 2;
        while at < ROUND_DURATION.get() {
            settings.faults.extend(draw_fault(&mut random, at));
            at += FAULT_INTERVAL;
        }
        Ok(settings)
    }
}

/// Draws a random fault, and for one that removes upstreams also their later replacement.
fn draw_fault(random: &mut ChaCha8Rng, at: Duration) -> Vec<FaultSettings> {
    let data_centre = random.random_range(0..DATA_CENTRES);
    let notice = Span::from_secs(random.random_range(1..4));
    let lasting = Span::from_secs(random.random_range(1..4));
    let fault = match random.random_range(0..6) {
        0 => Fault::Reclaim { data_centre, notice },
        1 => Fault::Loss { data_centre },
        2 => Fault::LogOutage { lasting },
        3 => Fault::ListOutage { lasting },
        4 => Fault::ReplaceDaemons,
        _ => Fault::Changes { count: 3, every: Span::from_millis(300) },
    };
    let refill = match &fault {
        Fault::Reclaim { notice, .. } => Some(notice.get() + REFILL_DELAY),
        Fault::Loss { .. } => Some(REFILL_DELAY),
        _ => None,
    };
    let mut faults = vec![FaultSettings { at: Span(at), fault }];
    faults.extend(
        refill.map(|delay| FaultSettings {
            at: Span(at + delay),
            fault: Fault::Refill { data_centre },
        }),
    );
    faults
}

fn violations(report: &StrategyReport) -> u64 {
    let audit = report.load.audit.unwrap_or_default();
    let load = report.load.outcome_count(RequestOutcome::Lost)
        + report.load.outcome_count(RequestOutcome::Wrong);
    let submissions = audit.duplicates + audit.false_not_run + audit.missing;
    let configuration = report.configuration.reverts + report.caused.late_changes;
    load + submissions + configuration + report.caused.late_starts
}

fn summary(reports: &[StrategyReport]) -> String {
    let Some(report) = reports.last() else {
        return String::new();
    };
    let ends = report.load.ends.iter().map(|(end, count)| format!("{end} {count}"));
    format!("{}, broken {}", ends.collect::<Vec<_>>().join(" "), violations(report))
}

#[cfg(test)]
mod tests;
