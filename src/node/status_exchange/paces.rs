//! What daemons tell each other of the pace of upstreams.

use super::{PeerStatuses, State};
use spindle_policy::presence::PACES_MAX;
use spindle_policy::upstream_pace::PeerPace;
use spindle_types::{Instance, MonotonicInstant};
use std::collections::BTreeMap;

impl PeerStatuses {
    /// Updates the paces in the own status, and passes those of the other daemons to the balancer.
    /// A pace is told again only when it has changed notably.
    pub(super) fn update_paces(&self, now: MonotonicInstant, state: &mut State) {
        let (balancer, own) = (&self.parts.balancer, &mut state.own);
        let paces = balancer.own_paces(now, PACES_MAX).into_iter().map(|(instance, pace)| {
            let sent = own.paces.get(&instance).copied();
            let kept = sent.filter(|sent| !sent.differs(pace)).unwrap_or(pace);
            (instance, kept)
        });
        let paces: Vec<_> = paces.collect();
        own.paces.set(own.beat, paces);
        let mut told: BTreeMap<&Instance, Vec<PeerPace>> = BTreeMap::new();
        for daemon in state.presence.live(now) {
            for (instance, pace) in daemon.status.paces.iter() {
                told.entry(instance).or_default().push(*pace);
            }
        }
        balancer.on_peer_paces(&told);
    }
}
