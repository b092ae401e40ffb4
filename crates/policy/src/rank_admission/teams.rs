//! Fair shares of the teams within one rank.

use spindle_types::{MonotonicInstant, Team};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time constant of the measured work of a team. A daemon sees few requests of each team; with 2 s,
/// a fifth of the requests of teams below their share was refused by chance.
const SMOOTHING: Duration = Duration::from_secs(4);

/// The number of teams that are told apart. Further ones get the fraction of their rank.
const TEAMS_MAX: usize = 64;

/// The work below which a team is forgotten, in prompt tokens.
const WORK_MIN: f64 = 1.0;

/// The recent work of each team within a rank.
#[derive(Debug, Default)]
pub(super) struct TeamShares {
    /// Work that decays with [`SMOOTHING`], as of the time.
    teams: BTreeMap<Option<Team>, (MonotonicInstant, f64)>,
}

impl TeamShares {
    /// Counts a request.
    pub(super) fn on_request(&mut self, now: MonotonicInstant, team: Option<&Team>, work: f64) {
        if self.teams.len() >= TEAMS_MAX {
            self.teams.retain(|_, (at, work)| decayed(now, *at, *work) >= WORK_MIN);
        }
        let team = team.cloned();
        if self.teams.len() < TEAMS_MAX || self.teams.contains_key(&team) {
            let (at, sum) = self.teams.entry(team).or_insert((now, 0.0));
            *sum = decayed(now, *at, *sum) + work;
            *at = now;
        }
    }

    /// The fraction of a team's requests that is admitted, if `fraction` of its rank's work is. No
    /// team gets less of its work admitted than it would by an even division among all teams, unless
    /// it offers less.
    pub(super) fn fraction(
        &self,
        now: MonotonicInstant,
        team: Option<&Team>,
        fraction: f64,
    ) -> f64 {
        if fraction >= 1.0 || self.teams.len() < 2 {
            return fraction;
        }
        let Some((at, work)) = self.teams.get(&team.cloned()) else { return fraction };
        let own = decayed(now, *at, *work);
        let mut offered: Vec<f64> =
            self.teams.values().map(|(at, work)| decayed(now, *at, *work)).collect();
        offered.sort_by(f64::total_cmp);
        let mut left = offered.iter().sum::<f64>() * fraction;
        let mut level = 0.0;
        for (index, work) in offered.iter().enumerate() {
            level = left / (offered.len() - index) as f64;
            if *work > level {
                break;
            }
            left -= work;
        }
        if own <= level { 1.0 } else { level / own }
    }
}

fn decayed(now: MonotonicInstant, at: MonotonicInstant, work: f64) -> f64 {
    work * (-now.since(at).as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
}
