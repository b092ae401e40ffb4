use super::*;

#[test]
fn lost_attempt_is_never_unsent_again() {
    let (request, flight) = SendState::new("call").send();
    let (request, flight) = flight.lost(request).send();
    let state = flight.refused(UpstreamRefusal::stated(), request);
    let actual = state.give_up(RefusalReason::NoUpstream);
    assert!(matches!(actual, Refusal::Unknown(_)), "{actual:?}");
}

#[test]
fn refused_attempts_leave_the_request_unsent() {
    let (request, flight) = SendState::new("call").send();
    let (request, flight) = flight.refused(UpstreamRefusal::stated(), request).send();
    let state = flight.refused(UpstreamRefusal::never_connected(), request);
    let actual = state.give_up(RefusalReason::NoUpstream);
    assert!(matches!(actual, Refusal::NotRun(_)), "{actual:?}");
}
