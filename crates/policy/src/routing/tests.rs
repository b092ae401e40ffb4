use super::*;
use std::net::Ipv4Addr;

fn upstream(name: &str) -> UpstreamInfo {
    UpstreamInfo {
        instance: Instance::try_from(name).unwrap(),
        pool: Pool::try_from("spindle-pool").unwrap(),
        data_centre: DataCentre::try_from("kano-a").unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        leaving: false,
    }
}

fn chosen(router: &mut Router) -> Option<String> {
    let pool = Pool::try_from("spindle-pool").unwrap();
    let route = router.choose(MonotonicInstant::default(), &pool, &[])?;
    Some(route.instance.to_string())
}

#[test]
fn least_loaded_is_chosen() {
    let mut router = Router::new();
    router.on_listing(vec![upstream("a"), upstream("b")]);
    let actual: Vec<_> = (0..3).map(|_| chosen(&mut router)).collect();
    assert_eq!(vec![Some("a".into()), Some("b".into()), Some("a".into())], actual);
}

#[test]
fn leaving_mark_survives_a_stale_listing() {
    let mut router = Router::new();
    router.on_listing(vec![upstream("a")]);
    router.on_leaving(&Instance::try_from("a").unwrap());
    router.on_listing(vec![upstream("a")]);
    assert_eq!(None, chosen(&mut router));
}
