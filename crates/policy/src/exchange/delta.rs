//! Sends the items that changed since the partner last confirmed. A digest of the whole roster
//! avoids sending anything when both sides hold the same items.

use super::{Exchange, Packet, Partner, merge_all, root};
use crate::roster::Roster;
use spindle_types::Incarnation;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// The sequence number of the newest local change that the partner has.
    confirmed: u64,
    /// The sequence number of the partner's newest change that this side has.
    seen: u64,
}

/// Delta push with acknowledgements.
#[derive(Clone, Debug, Default)]
pub struct DeltaPush {
    cursors: HashMap<Incarnation, Cursor>,
}

impl DeltaPush {
    fn delta(&mut self, roster: &Roster, partner: Partner) -> Packet {
        let Cursor { confirmed, seen } =
            self.cursors.get(&partner.incarnation).copied().unwrap_or_default();
        let changed = roster.changed_since(confirmed, partner.incarnation);
        let items = changed.filter(|item| partner.scope.includes(item)).cloned().collect();
        Packet::Delta { root: root(roster, partner.scope), upto: roster.sequence(), seen, items }
    }

    /// Merges a packet's items and updates the cursor for the partner.
    fn apply(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) {
        let Packet::Delta { root: theirs, upto, seen, items } = packet else {
            return;
        };
        merge_all(roster, partner, &items);
        let equal = theirs == root(roster, partner.scope);
        let cursor = self.cursors.entry(partner.incarnation).or_default();
        cursor.seen = upto;
        cursor.confirmed = if equal { roster.sequence() } else { cursor.confirmed.max(seen) };
    }
}

impl Exchange for DeltaPush {
    fn request(&mut self, roster: &Roster, partner: Partner) -> Packet {
        if self.cursors.contains_key(&partner.incarnation) {
            return self.delta(roster, partner);
        }
        // A new partner may hold the same items already, so only the digest is sent at first.
        let items = Vec::new();
        Packet::Delta { root: root(roster, partner.scope), upto: 0, seen: 0, items }
    }

    fn on_request(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) -> Packet {
        self.apply(roster, partner, packet);
        self.delta(roster, partner)
    }

    fn on_reply(
        &mut self,
        roster: &mut Roster,
        partner: Partner,
        packet: Packet,
    ) -> Option<Packet> {
        let first = !self.cursors.contains_key(&partner.incarnation);
        self.apply(roster, partner, packet);
        let confirmed = self.cursors.get(&partner.incarnation)?.confirmed;
        (first && confirmed < roster.sequence()).then(|| self.delta(roster, partner))
    }

    fn forget(&mut self, partner: Incarnation) {
        self.cursors.remove(&partner);
    }
}
