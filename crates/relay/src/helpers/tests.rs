use super::*;

fn daemon(port: u16, config: u64, lost: &[&str]) -> HelperDaemon {
    let lost = lost.iter().map(|service| (*service).try_into().unwrap());
    HelperDaemon {
        instance: format!("d-{port}").as_str().try_into().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        is_local: true,
        load: u32::from(port),
        lost: lost.collect(),
        config,
    }
}

/// The ports of the daemons that are selected for a request for `new` under version 5, one after the
/// other.
fn selected(daemons: Vec<HelperDaemon>) -> Vec<u16> {
    let helpers = Helpers::default();
    helpers.set(daemons);
    let (service, mut tried) = ("new".try_into().unwrap(), Vec::new());
    while let Some(helper) = helpers.select(MonotonicInstant::default(), &service, 5, &tried) {
        tried.push(helper.address);
    }
    tried.iter().map(SocketAddr::port).collect()
}

#[test]
fn a_daemon_that_has_lost_other_services_helps_only_if_there_is_no_other() {
    let daemons = vec![daemon(1, 5, &["a", "b"]), daemon(2, 5, &["a"]), daemon(9, 5, &[])];
    assert_eq!(selected(daemons), [9, 2, 1]);
}

#[test]
fn a_daemon_that_is_not_known_to_have_the_configuration_helps_only_if_there_is_no_other() {
    let daemons = vec![daemon(1, 4, &[]), daemon(9, 5, &["a"]), daemon(3, 5, &["new"])];
    assert_eq!(selected(daemons), [9, 1]);
}
