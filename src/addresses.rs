//! Tells callers which daemons to send their requests to.

use crate::context::Context;
use crate::daemon::Shared;
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use spindle_caller::{AddressReply, DaemonAddress};
use spindle_http::Body;
use spindle_policy::freshness::Freshness;
use spindle_policy::membership::Member;
use spindle_policy::steering::{PrefixFamily, ServingPlace, preferred_daemons, serving_place};
use spindle_types::{DataCentre, Model, Problems, Service};
use std::net::SocketAddr;

/// Request header with the label of the prefix family (requests whose prompts begin alike), as
/// given in the address query.
pub const PREFIX_HEADER: HeaderName = HeaderName::from_static("bronzespindle-prefix");

/// Response header with the address of the daemon to use for the prefix family from now on.
pub const PREFERRED_DAEMON_HEADER: HeaderName = HeaderName::from_static("bronzespindle-use");

/// Maximum number of addresses in a reply.
const ADDRESSES_MAX: usize = 8;

/// Maximum length of the label of a prefix family, in bytes.
const LABEL_MAX_BYTES: usize = 256;

/// A caller's query for the daemons to use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    /// Name of the model or service.
    pub target: String,
    /// Label of the prefix family; without one, any daemon is suitable.
    pub prefix: Option<String>,
    /// Data centre of the caller; defaults to that of this daemon.
    pub data_centre: Option<DataCentre>,
}

impl TryFrom<&str> for AddressQuery {
    type Error = Problems;

    fn try_from(query: &str) -> Result<Self, Problems> {
        let mut problems = Problems::new();
        let mut asked = Self::default();
        let mut targets = 0;
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            let checked = match name.as_ref() {
                "model" | "service" if targets > 0 => {
                    problems.add(name, value, "one of model and service, once");
                    continue;
                }
                "model" => Model::try_from(value.as_ref()).map(|_| targets += 1),
                "service" => Service::try_from(value.as_ref()).map(|_| targets += 1),
                "data_centre" => DataCentre::try_from(value.as_ref()).map(|centre| {
                    asked.data_centre = Some(centre);
                }),
                "prefix" if value.len() <= LABEL_MAX_BYTES => {
                    asked.prefix = Some(value.into_owned());
                    continue;
                }
                "prefix" => {
                    let allowed = format!("at most {LABEL_MAX_BYTES}");
                    problems.add("prefix", format!("{} bytes", value.len()), allowed);
                    continue;
                }
                _ => {
                    problems.add(name, value, "model, service, prefix and data_centre");
                    continue;
                }
            };
            match checked {
                Ok(()) if name != "data_centre" => asked.target = value.into_owned(),
                Ok(()) => {}
                Err(error) => problems.add(name, error, "a valid name"),
            }
        }
        problems.finish(|| asked)
    }
}

/// The addresses to use, best first. It lists only live daemons, and this daemon only if it is not
/// cut off from the newest configuration.
pub fn address_reply<C: Context>(shared: &Shared<C>, asked: &AddressQuery) -> AddressReply {
    let members = shared.members.borrow();
    let home = asked.data_centre.as_ref().unwrap_or(&shared.settings.identity.data_centre);
    let family = match &asked.prefix {
        Some(label) => PrefixFamily::of(&asked.target, label),
        // A random family spreads callers that name none evenly.
        None => PrefixFamily(u64::try_from(shared.context.random() >> 64).unwrap_or_default()),
    };
    let cut_off = shared.freshness() == Freshness::CutOff;
    let own = &shared.settings.identity.instance;
    let usable = preferred_daemons(family, home, &members).into_iter();
    let usable = usable.filter(|member| !(cut_off && member.instance == *own));
    let addresses = usable.filter_map(daemon_address).take(ADDRESSES_MAX);
    AddressReply {
        addresses: addresses.collect(),
        ttl_seconds: shared.settings.caller.address_ttl.get().as_secs(),
    }
}

fn daemon_address(member: &Member) -> Option<DaemonAddress> {
    Some(DaemonAddress { address: member.caller, incarnation: member.incarnation? })
}

/// The daemon that a request should have gone to, if its prefix family is served elsewhere.
pub fn preferred_daemon<C: Context>(
    shared: &Shared<C>,
    target: &str,
    headers: &HeaderMap,
) -> Option<SocketAddr> {
    let label = headers.get(PREFIX_HEADER)?.to_str().ok()?;
    let family = PrefixFamily::of(target, label);
    let identity = &shared.settings.identity;
    let members = shared.members.borrow();
    match serving_place(family, &identity.data_centre, &members, &identity.instance) {
        ServingPlace::Here => None,
        ServingPlace::Elsewhere => preferred_daemons(family, &identity.data_centre, &members)
            .first()
            .map(|member| member.caller),
    }
}

/// Adds the header that names the daemon to use from now on, if that is another one.
pub fn with_preferred_daemon(
    mut response: Response<Body>,
    preferred: Option<SocketAddr>,
) -> Response<Body> {
    let value = preferred.and_then(|address| HeaderValue::try_from(address.to_string()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(PREFERRED_DAEMON_HEADER, value);
    }
    response
}

#[cfg(test)]
mod tests;
