use super::*;
use crate::cases::check;
use bolero::TypeGenerator;

/// A generated item. There are few keys, so that items with the same key occur.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum Draft {
    Record { id: u8, version: u8, health: u8, leaving: bool },
    DynamicState { id: u8, version: u8 },
    Summary { centre: u8, version: u8, author: u8 },
    Mark { id: u8, at: u8 },
}

impl Draft {
    pub(crate) fn item(self) -> Item {
        let centre = |id: u8| DataCentre::try_from(format!("c{}", id % 3)).unwrap();
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        match self {
            Self::Record { id, version, health, leaving } => Item::Record(DaemonRecord {
                incarnation: Incarnation(u64::from(id % 8)),
                instance: Instance::try_from(format!("i-{}", id % 8)).unwrap(),
                data_centre: centre(id % 8),
                caller: address,
                peer: address,
                version: u32::from(version % 4),
                health: [Health::Live, Health::Suspect][usize::from(health % 2)],
                leaving,
            }),
            Self::DynamicState { id, version } => Item::DynamicState(DynamicState {
                incarnation: Incarnation(u64::from(id % 8)),
                version: u32::from(version),
                revision: Revision(u64::from(version)),
                load: u32::from(version),
            }),
            Self::Summary { centre: id, version, author } => Item::Summary(Summary {
                data_centre: centre(id),
                version: u32::from(version),
                author: Incarnation(u64::from(author % 4)),
                revision: Revision(u64::from(version) + u64::from(author % 4)),
                members: 1,
            }),
            Self::Mark { id, at } => Item::Mark(LeavingMark {
                instance: Instance::try_from(format!("i-{}", id % 8)).unwrap(),
                at: UtcInstant(u64::from(at)),
            }),
        }
    }
}

fn roster(drafts: &[Draft]) -> Roster {
    let mut roster = Roster::new();
    for draft in drafts {
        roster.merge(&draft.item(), None);
    }
    roster
}

#[test]
fn any_order_and_repetition_of_items_makes_the_same_roster() {
    check::<(Vec<Draft>, usize)>(500, |(drafts, shift)| {
        let expected = roster(drafts);
        let mut shuffled: Vec<_> = drafts.iter().rev().copied().collect();
        let middle = shift % shuffled.len().max(1);
        shuffled.rotate_left(middle);
        shuffled.extend_from_within(..middle);
        let actual = roster(&shuffled);
        assert!(expected.items().eq(actual.items()));
        assert_eq!(expected.digests(), actual.digests());
    });
}

#[test]
fn leaving_is_final() {
    let draft = |version, leaving| Draft::Record { id: 1, version, health: 0, leaving };
    let roster = roster(&[draft(1, false), draft(1, true), draft(2, false)]);
    let record = roster.record(Incarnation(1)).unwrap();
    assert_eq!((2, true), (record.version, record.leaving));
}
