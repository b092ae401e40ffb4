//! A soak: load under faults drawn from a seed, round after round, with every promise checked.

use crate::deployment::Example;
use crate::experiment::{StrategyReport, guarantees, parse, run};
use crate::load::{Progress, RequestOutcome};
use crate::settings::{ExperimentSettings, Fault, FaultSettings};
use eyre::ensure;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_types::Span;
use std::time::Duration;

/// The time over which the requests of a round arrive.
const ROUND: Span = Span::from_secs(20);

/// The time from one fault to the next.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// The time from the loss of a data centre's upstreams to their return.
const REFILL_DELAY: Duration = Duration::from_secs(3);

/// The data centres of an example.
const DATA_CENTRES: usize = 4;

/// What every round is made of.
const BASE: &str = "{ title: soak, rates: {}, daemons: 4 }";

/// A soak.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Which deployment.
    pub example: Example,
    /// The seed of load and faults.
    pub seed: u64,
    /// Rounds.
    pub rounds: u32,
    /// Arrivals a second.
    pub rate: f64,
}

impl Soak {
    /// Runs every round, prints the guarantees, and fails if one was broken.
    ///
    /// # Errors
    ///
    /// A deployment does not start, or a promise was broken.
    pub async fn execute(self) -> eyre::Result<()> {
        let mut outcomes = Vec::new();
        for round in 0..self.rounds {
            let settings = self.round(round)?;
            outcomes.extend(run(&settings, Progress::Shown).await?);
            println!("round {round} of seed {}: {}", self.seed, summary(&outcomes));
        }
        println!("\n{}", guarantees(&outcomes));
        let broken: u64 = outcomes.iter().map(broken).sum();
        ensure!(broken == 0, "guarantees were broken {broken} times");
        Ok(())
    }

    fn round(self, round: u32) -> eyre::Result<ExperimentSettings> {
        // The base document is valid but for its rates, which are set here.
        let mut settings =
            parse(&BASE.replace("{}", &format!("{{ {}: {} }}", self.example, self.rate)))?;
        settings.traffic.seed = self.seed + u64::from(round);
        settings.traffic.duration = ROUND;
        let mut random = ChaCha8Rng::seed_from_u64(settings.traffic.seed);
        let mut at = FAULT_INTERVAL / 2;
        while at < ROUND.get() {
            settings.faults.extend(draw(&mut random, at));
            at += FAULT_INTERVAL;
        }
        Ok(settings)
    }
}

/// Draws a fault, and the return of what it takes away.
fn draw(random: &mut ChaCha8Rng, at: Duration) -> Vec<FaultSettings> {
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

fn broken(outcome: &StrategyReport) -> u64 {
    let audit = outcome.load.audit.unwrap_or_default();
    let load = outcome.load.outcome_count(RequestOutcome::Lost)
        + outcome.load.outcome_count(RequestOutcome::Wrong);
    let submissions = audit.duplicates + audit.false_not_run + audit.missing;
    let configuration = outcome.configuration.reverts + outcome.caused.late_changes;
    load + submissions + configuration + outcome.caused.late_starts
}

fn summary(outcomes: &[StrategyReport]) -> String {
    let Some(outcome) = outcomes.last() else {
        return String::new();
    };
    let ends = outcome.load.ends.iter().map(|(end, count)| format!("{end} {count}"));
    format!("{}, broken {}", ends.collect::<Vec<_>>().join(" "), broken(outcome))
}

#[cfg(test)]
mod tests;
