//! Sends the whole roster with each heartbeat. The baseline to which the others are compared.

use super::{Exchange, Packet, Partner, merge_all};
use crate::roster::Roster;
use spindle_types::Incarnation;

/// Full-state push.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullPush;

fn full_packet(roster: &Roster, partner: Partner) -> Packet {
    Packet::Full(roster.items().filter(|item| partner.scope.includes(item)).cloned().collect())
}

impl Exchange for FullPush {
    fn request(&mut self, roster: &Roster, partner: Partner) -> Packet {
        full_packet(roster, partner)
    }

    fn on_request(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) -> Packet {
        if let Packet::Full(items) = packet {
            merge_all(roster, partner, &items);
        }
        full_packet(roster, partner)
    }

    fn on_reply(
        &mut self,
        roster: &mut Roster,
        partner: Partner,
        packet: Packet,
    ) -> Option<Packet> {
        if let Packet::Full(items) = packet {
            merge_all(roster, partner, &items);
        }
        None
    }

    fn forget(&mut self, _partner: Incarnation) {}
}
