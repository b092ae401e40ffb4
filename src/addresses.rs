//! The address answer: which daemons a caller should use.

use crate::context::Context;
use crate::daemon::Shared;
use spindle_caller::{AddressReply, DaemonAddress};
use spindle_instances::State;

/// The addresses to use, those in this daemon's data centre first. Leaving daemons are not in it.
pub fn answer<C: Context>(shared: &Shared<C>) -> AddressReply {
    let daemons = shared.daemons.borrow();
    let leaving = shared.upstreams.leaving();
    let leaving = leaving.borrow();
    let mut usable: Vec<_> = daemons
        .iter()
        .filter(|daemon| daemon.entry.state == State::Live)
        .filter(|daemon| !leaving.contains(&daemon.entry.instance))
        .collect();
    let home = &shared.settings.identity.data_centre;
    usable.sort_by_key(|daemon| (daemon.entry.data_centre != *home, daemon.entry.instance.clone()));
    let addresses = usable
        .into_iter()
        .map(|daemon| DaemonAddress {
            address: daemon.entry.address,
            incarnation: shared.incarnation,
        })
        .collect();
    AddressReply { addresses, ttl_seconds: shared.settings.caller.address_ttl.get().as_secs() }
}
