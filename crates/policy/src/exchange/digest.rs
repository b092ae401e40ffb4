//! Compares two levels of digests and sends the items that differ, after Chronos (Zhu et al.,
//! "Chronos: Serverless Multi-User Chat Over NDN", 2012, §3.3, §3.4 and §5.1). A bounded list
//! of past digests tells which items a partner lacks that is only slightly behind.

use super::{Exchange, Packet, Partner, Scope, merge_all, root};
use crate::roster::{Group, Item, Key, Roster};
use spindle_types::Incarnation;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of past digests that are kept.
const PAST_DIGESTS_MAX: usize = 64;

/// Reconciliation by two-level digests: the whole roster, then its groups.
#[derive(Clone, Debug, Default)]
pub struct DigestSync {
    /// Past digests of the roster, each with its sequence number at that time.
    past_digests: VecDeque<(u64, u64)>,
}

impl DigestSync {
    /// Records the current digest of the roster with the sequence number of its newest change.
    fn record_digest(&mut self, roster: &Roster, scope: Scope) {
        let entry = (root(roster, scope), roster.sequence());
        if self.past_digests.contains(&entry) {
            return;
        }
        self.past_digests.push_back(entry);
        if self.past_digests.len() > PAST_DIGESTS_MAX {
            self.past_digests.pop_front();
        }
    }

    fn on_root(&mut self, roster: &Roster, partner: Partner, theirs: u64) -> Packet {
        self.record_digest(roster, partner.scope);
        if theirs == root(roster, partner.scope) {
            return Packet::Same;
        }
        if let Some((_, sequence)) =
            self.past_digests.iter().rev().find(|(digest, _)| *digest == theirs)
        {
            let changed = roster.changed_since(*sequence, partner.incarnation);
            let items = changed.filter(|item| partner.scope.includes(item)).cloned().collect();
            return Packet::Items { items, wanted: Vec::new() };
        }
        let groups = roster.digests().iter().filter(|(group, _)| partner.scope.compares(group));
        Packet::Groups(groups.map(|(group, digest)| (group.clone(), *digest)).collect())
    }
}

fn items_of<'a>(roster: &'a Roster, groups: &'a [Group]) -> impl Iterator<Item = &'a Item> {
    roster.items().filter(|item| groups.contains(&item.group()))
}

fn leaves(roster: &Roster, scope: Scope, theirs: &[(Group, u64)]) -> Packet {
    let theirs: BTreeMap<_, _> = theirs.iter().cloned().collect();
    let all: BTreeSet<_> = theirs.keys().chain(roster.digests().keys()).collect();
    let differs = |group: &&Group| theirs.get(group) != roster.digests().get(group);
    let groups: Vec<_> =
        all.into_iter().filter(|group| scope.compares(group)).filter(differs).cloned().collect();
    let leaves = items_of(roster, &groups).map(|item| (item.key(), item.digest())).collect();
    Packet::Leaves { groups, leaves }
}

fn compare(roster: &Roster, groups: &[Group], theirs: Vec<(Key, u64)>) -> Packet {
    let theirs: BTreeMap<_, _> = theirs.into_iter().collect();
    let differing =
        items_of(roster, groups).filter(|item| theirs.get(&item.key()) != Some(&item.digest()));
    let items = differing.cloned().collect();
    let differs =
        |key: &Key, digest: u64| roster.get(key).is_none_or(|item| item.digest() != digest);
    let wanted = theirs.into_iter().filter(|(key, digest)| differs(key, *digest));
    Packet::Items { items, wanted: wanted.map(|(key, _)| key).collect() }
}

impl Exchange for DigestSync {
    fn request(&mut self, roster: &Roster, partner: Partner) -> Packet {
        self.record_digest(roster, partner.scope);
        Packet::Root(root(roster, partner.scope))
    }

    fn on_request(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) -> Packet {
        match packet {
            Packet::Root(theirs) => self.on_root(roster, partner, theirs),
            Packet::Leaves { groups, leaves } => compare(roster, &groups, leaves),
            Packet::Items { items, .. } => {
                merge_all(roster, partner, &items);
                Packet::Same
            }
            _ => Packet::Same,
        }
    }

    fn on_reply(
        &mut self,
        roster: &mut Roster,
        partner: Partner,
        packet: Packet,
    ) -> Option<Packet> {
        match packet {
            Packet::Groups(groups) => Some(leaves(roster, partner.scope, &groups)),
            Packet::Items { items, wanted } => {
                let answer: Vec<_> =
                    wanted.iter().filter_map(|key| roster.get(key).cloned()).collect();
                merge_all(roster, partner, &items);
                let wanted = Vec::new();
                (!answer.is_empty()).then_some(Packet::Items { items: answer, wanted })
            }
            _ => None,
        }
    }

    fn forget(&mut self, _partner: Incarnation) {}
}
