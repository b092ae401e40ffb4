use super::*;
use crate::node::fake_store::{AppendFailure, FakeStore};
use spindle_policy::rollout::{
    OrderRevision, RolloutOrder, Stage, StepReason, VersionSeen, VersionsSeen,
};
use spindle_types::{Offset, SystemClock};
use std::sync::{Arc, Mutex};

/// Steps that the daemons were told of, and whether at once.
type Told = (Option<LedSteps>, bool);

/// What the other daemons tell and are told, in the place of statuses.
#[derive(Clone, Debug, Default)]
struct FakeFleet {
    view: Arc<Mutex<FleetView>>,
    known: Arc<Mutex<Vec<RolloutStep>>>,
    told: Arc<Mutex<Vec<Told>>>,
    stopped: Arc<Mutex<Vec<(Service, u64)>>>,
}

impl RolloutFleet for FakeFleet {
    fn utc(&self, now: MonotonicInstant) -> UtcInstant {
        UtcInstant(1_700_000_000_000 + now.micros() / 1_000)
    }

    fn view(&self, _: MonotonicInstant, _: &Service, _: Option<&RolloutStep>) -> FleetView {
        self.view.lock().unwrap().clone()
    }

    fn known_steps(&self) -> Vec<RolloutStep> {
        self.known.lock().unwrap().clone()
    }

    fn tell(&self, _: MonotonicInstant, led: Option<LedSteps>, news: bool) {
        // A daemon follows the steps that it tells.
        if let Some(led) = &led {
            *self.known.lock().unwrap() = led.steps.clone();
        }
        self.told.lock().unwrap().push((led, news));
    }

    fn stop(&self, service: &Service, order: u64) {
        self.stopped.lock().unwrap().push((service.clone(), order));
    }
}

impl FakeFleet {
    /// The stages that the daemons were last told of; none if they were told of no holder.
    fn stages(&self) -> Option<Vec<Stage>> {
        let told = self.told.lock().unwrap();
        let (led, _) = told.last()?;
        Some(led.as_ref()?.steps.iter().map(|step| step.stage).collect())
    }
}

struct Holder {
    leader: RolloutLeader<FakeStore, FakeFleet, SystemClock>,
    fleet: FakeFleet,
    permission: watch::Sender<Option<Permission>>,
}

impl Holder {
    /// A daemon that holds the lease under a fencing token.
    fn new(store: &FakeStore, fencing: u64) -> Self {
        let clock = SystemClock::new();
        let bounds = RolloutBounds { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) };
        let (permission, receiver) = watch::channel(None);
        let fleet = FakeFleet::default();
        let seen = |name: &str, upstreams| VersionSeen {
            version: Some(name.try_into().unwrap()),
            upstreams,
            slots: 32,
            started_at: UtcInstant(1),
            first_seen: clock.now(),
        };
        let versions = VersionsSeen(vec![seen("v1", 4)]);
        *fleet.view.lock().unwrap() = FleetView { versions, ..FleetView::default() };
        let outside = (store.clone(), fleet.clone(), clock);
        let holder =
            Self { leader: RolloutLeader::new(bounds, outside, receiver), fleet, permission };
        holder.take_lease(fencing);
        holder
    }

    fn take_lease(&self, fencing: u64) {
        let (now, term) = (self.leader.clock.now(), Duration::from_secs(60));
        let permission = Permission::new(Fencing(fencing), now, term, now);
        self.permission.send_replace(Some(permission));
    }

    async fn advance(&mut self) {
        self.leader.advance().await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }

    async fn advance_times(&mut self, times: usize) {
        for _ in 0..times {
            self.advance().await;
        }
    }
}

fn order(offset: u64) -> RolloutOrder {
    RolloutOrder {
        service: "desk".try_into().unwrap(),
        target: "v2".try_into().unwrap(),
        duration: Duration::from_secs(1_000),
        revision: OrderRevision { era: 0, offset: Offset(offset) },
    }
}

/// A store in which a rollout is ordered.
fn ordered_store() -> FakeStore {
    let store = FakeStore::default();
    store.rollouts.lock().unwrap().orders =
        OrderList { orders: vec![order(7)], era: Some(0), ..OrderList::default() };
    store
}

fn fail(store: &FakeStore, failure: Option<AppendFailure>) {
    store.rollouts.lock().unwrap().failure = failure;
}

/// The fencing token and the stages of each stored record.
fn stored(store: &FakeStore) -> Vec<(u64, Vec<Stage>)> {
    let rollouts = store.rollouts.lock().unwrap();
    let records = rollouts.records.iter().map(|record| {
        let record: StepRecord = serde_json::from_slice(record).unwrap();
        (record.fencing.0, record.steps.iter().map(|step| step.stage).collect())
    });
    records.collect()
}

#[tokio::test(start_paused = true)]
async fn an_order_is_stored_told_and_reported() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(3).await;
    assert_eq!(stored(&store), [(3, vec![Stage::Trial])]);
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::Trial]));
    let told = holder.fleet.told.lock().unwrap();
    assert_eq!(told.iter().filter(|(_, news)| *news).count(), 1);
    let written = store.rollouts.lock().unwrap().written.len();
    assert_eq!(written, 1);
}

/// Guards against daemons that follow a step which a later holder doesn't know of.
#[tokio::test(start_paused = true)]
async fn a_step_is_not_told_before_it_is_stored() {
    let store = ordered_store();
    fail(&store, Some(AppendFailure::Refused));
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(5).await;
    assert_eq!(holder.fleet.stages(), None);
    assert!(store.rollouts.lock().unwrap().written.is_empty());
    fail(&store, None);
    holder.advance_times(2).await;
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::Trial]));
}

/// Guards against a step that is stored twice, or never told, because the answer was lost.
#[tokio::test(start_paused = true)]
async fn an_append_whose_answer_is_lost_is_found_by_reading() {
    let store = ordered_store();
    fail(&store, Some(AppendFailure::AnswerLost));
    let mut holder = Holder::new(&store, 3);
    holder.advance().await;
    assert_eq!(holder.fleet.stages(), None);
    fail(&store, None);
    holder.advance_times(2).await;
    assert_eq!(stored(&store), [(3, vec![Stage::Trial])]);
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::Trial]));
}

/// Guards against two holders whose steps both count.
#[tokio::test(start_paused = true)]
async fn a_new_holder_appends_the_steps_again_and_the_previous_one_conflicts() {
    let store = ordered_store();
    let mut previous = Holder::new(&store, 3);
    previous.advance_times(2).await;
    let mut holder = Holder::new(&store, 9);
    holder.advance().await;
    assert_eq!(stored(&store), [(3, vec![Stage::Trial]), (9, vec![Stage::Trial])]);
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::Trial]));
    // The previous holder has not noticed yet, and finds a reason for another step.
    store.rollouts.lock().unwrap().orders.orders.clear();
    previous.leader.list_began = None;
    previous.advance().await;
    assert_eq!(stored(&store).len(), 2);
    assert_eq!(previous.fleet.stages(), Some(vec![Stage::Trial]));
    previous.permission.send_replace(None);
    previous.advance().await;
    assert_eq!(previous.fleet.stages(), None);
    holder.advance_times(2).await;
    assert_eq!(stored(&store).last(), Some(&(9, vec![Stage::RolledBack])));
}

#[tokio::test(start_paused = true)]
async fn the_state_is_written_until_it_is_acknowledged_and_repeats_the_newest_step() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.leader.advance().await;
    // The first write has begun and is refused.
    fail(&store, Some(AppendFailure::Refused));
    holder.advance_times(6).await;
    assert!(store.rollouts.lock().unwrap().tried > 2);
    assert!(store.rollouts.lock().unwrap().written.is_empty());
    fail(&store, None);
    store.rollouts.lock().unwrap().orders.orders.clear();
    holder.advance_times(8).await;
    let written = store.rollouts.lock().unwrap().written.clone();
    let stages: Vec<Stage> = written.iter().map(|step| step.stage).collect();
    assert_eq!(stages.last(), Some(&Stage::RolledBack));
    assert_eq!(stages.iter().filter(|stage| stage.is_final()).count(), 1);
}

/// Guards against a restore of the store that sets a rollout back, or loses what the operators see.
#[tokio::test(start_paused = true)]
async fn steps_and_states_are_written_again_after_a_restore() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(3).await;
    store.rollouts.lock().unwrap().orders.orders.clear();
    holder.advance_times(4).await;
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::RolledBack]));
    {
        let mut rollouts = store.rollouts.lock().unwrap();
        rollouts.records.clear();
        rollouts.written.clear();
        rollouts.orders.era = Some(1);
    }
    holder.take_lease(1 << 32);
    holder.advance_times(5).await;
    assert_eq!(stored(&store), [(1 << 32, vec![Stage::RolledBack])]);
    let written = store.rollouts.lock().unwrap().written.clone();
    assert_eq!(written.iter().map(|step| step.stage).collect::<Vec<_>>(), [Stage::RolledBack]);
}

/// Guards against a holder that takes over after a restore and knows less than the other daemons.
#[tokio::test(start_paused = true)]
async fn a_step_that_daemons_follow_takes_precedence_over_an_earlier_stored_one() {
    let store = ordered_store();
    let mut previous = Holder::new(&store, 3);
    previous.advance_times(2).await;
    let first = previous.leader.term.as_ref().unwrap().steps().remove(0);
    let later = RolloutStep {
        stage: Stage::RolledBack,
        sequence: first.sequence + 4,
        reason: StepReason::Bad,
        ..first
    };
    let mut holder = Holder::new(&store, 9);
    *holder.fleet.known.lock().unwrap() = vec![later];
    holder.advance_times(2).await;
    assert_eq!(stored(&store).last(), Some(&(9, vec![Stage::RolledBack])));
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::RolledBack]));
}

/// Guards against a mistyped record that ends a rollout.
#[tokio::test(start_paused = true)]
async fn an_unreadable_order_withdraws_nothing() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(3).await;
    {
        let mut rollouts = store.rollouts.lock().unwrap();
        rollouts.orders.orders.clear();
        rollouts.orders.unreadable.insert("desk".to_owned(), "no target".to_owned());
    }
    holder.advance_times(6).await;
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::Trial]));
    store.rollouts.lock().unwrap().orders.unreadable.clear();
    holder.advance_times(4).await;
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::RolledBack]));
}

/// Guards against a decision that waits for the answer to an earlier one: a version that turns bad in
/// the meantime would get requests for as long.
#[tokio::test(start_paused = true)]
async fn a_step_whose_append_is_unanswered_is_decided_again_and_a_bad_version_is_stopped_at_once() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(3).await;
    {
        let mut view = holder.fleet.view.lock().unwrap();
        let of_target = VersionSeen {
            version: Some("v2".try_into().unwrap()),
            started_at: UtcInstant(2),
            ..view.versions.0[0].clone()
        };
        view.versions.0.push(of_target);
        view.route_rates = BTreeMap::from([("/chat".to_owned(), 300.0)]);
    }
    fail(&store, Some(AppendFailure::NoAnswer));
    holder.advance().await;
    let pending = holder.leader.term.as_ref().unwrap().appending.as_ref();
    assert_eq!(Some(StepReason::Shares), pending.map(|pending| pending.steps[0].reason));
    holder.fleet.view.lock().unwrap().is_convicted = true;
    holder.advance().await;
    let stopped: Vec<(Service, u64)> = vec![("desk".try_into().unwrap(), 1)];
    assert_eq!(stopped, *holder.fleet.stopped.lock().unwrap());
    let pending = holder.leader.term.as_ref().unwrap().appending.as_ref();
    assert_eq!(Some(StepReason::Bad), pending.map(|pending| pending.steps[0].reason));
    assert_eq!(stored(&store), [(3, vec![Stage::Trial])]);
    fail(&store, None);
    holder.advance_times(6).await;
    assert_eq!(stored(&store).last(), Some(&(3, vec![Stage::RolledBack])));
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::RolledBack]));
}

/// Guards against an append that is given up after it took effect: the replacing one must not be stored
/// as well without its steps having been read.
#[tokio::test(start_paused = true)]
async fn a_lost_append_that_took_effect_is_read_before_another_step_is_stored() {
    let store = ordered_store();
    let mut holder = Holder::new(&store, 3);
    holder.advance_times(3).await;
    fail(&store, Some(AppendFailure::NoAnswer));
    store.rollouts.lock().unwrap().orders.orders.clear();
    holder.advance_times(3).await;
    assert_eq!(stored(&store).len(), 1);
    // What the holder has appended arrives, and the answer doesn't.
    let pending = holder.leader.term.as_ref().unwrap().appending.as_ref().unwrap();
    let record = StepRecord { fencing: Fencing(3), steps: pending.steps.clone() };
    let record = serde_json::to_vec(&record).unwrap();
    store.rollouts.lock().unwrap().records.push(record.into());
    fail(&store, None);
    holder.advance_times(8).await;
    assert_eq!(holder.fleet.stages(), Some(vec![Stage::RolledBack]));
    let finals = stored(&store).into_iter().filter(|(_, stages)| stages[0] == Stage::RolledBack);
    // The steps in force are appended again after a conflict or a lost answer.
    assert!((1..=2).contains(&finals.count()));
}
