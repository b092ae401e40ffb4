use super::*;
use crate::cases::check;
use crate::roster::tests::Draft;

/// The number of rounds without losses after which two rosters must be equal.
const ROUNDS: usize = 3;

struct Side<X> {
    roster: Roster,
    exchange: X,
}

fn side<X: Exchange>(drafts: &[Draft]) -> Side<X> {
    let mut side = Side { roster: Roster::new(), exchange: X::default() };
    for draft in drafts {
        side.roster.merge(&draft.item(), None);
    }
    side
}

/// One exchange. Each message is lost if the next call of `lost` returns true.
fn exchange<X: Exchange>(sides: &mut [Side<X>; 2], scope: Scope, mut lost: impl FnMut() -> bool) {
    let [a, b] = sides;
    let partner = |id| Partner { incarnation: Incarnation(id), scope };
    let mut next = Some(a.exchange.request(&a.roster, partner(101)));
    while let Some(request) = next.take() {
        if lost() {
            return;
        }
        let reply = b.exchange.on_request(&mut b.roster, partner(100), request);
        if lost() {
            return;
        }
        next = a.exchange.on_reply(&mut a.roster, partner(101), reply);
    }
}

fn exchanged(roster: &Roster, scope: Scope) -> Vec<&Item> {
    roster.items().filter(|item| scope.includes(item)).collect()
}

fn converges<X: Exchange>() {
    check::<([Vec<Draft>; 3], u64, bool)>(300, |([ours, theirs, late], losses, near)| {
        let scope = if *near { Scope::Near } else { Scope::Far };
        let mut sides: [Side<X>; 2] = [side(ours), side(theirs)];
        let mut bits = (0..64).map(|bit| losses >> bit & 1 == 1).chain(std::iter::repeat(false));
        for draft in late {
            exchange(&mut sides, scope, || bits.next() == Some(true));
            sides[0].roster.merge(&draft.item(), None);
        }
        for _ in 0..ROUNDS {
            exchange(&mut sides, scope, || false);
        }
        assert_eq!(exchanged(&sides[0].roster, scope), exchanged(&sides[1].roster, scope));
    });
}

#[test]
fn full_push_converges_after_losses() {
    converges::<FullPush>();
}

#[test]
fn delta_push_converges_after_losses() {
    converges::<DeltaPush>();
}

#[test]
fn digests_converge_after_losses() {
    converges::<DigestSync>();
}
