//! A store, a cloud API and other daemons whose responses never end and are no responses.

use crate::daemon::{Daemon, POLL_INTERVAL, POLLS_MAX, addresses, start_deployment};
use crate::endless::{FLOODS, MEMORY_MAX_KB, peak_memory_kb};
use crate::raw::{Ending, RawUpstream, Script};
use std::time::Duration;

/// How long a daemon meets the responses. Several calls of each kind fit into it.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// Starts a server for each kind of response.
async fn start_floods() -> Vec<(&'static str, RawUpstream)> {
    let mut servers = Vec::new();
    for (kind, head, unit) in FLOODS {
        let head = head.replace("{head}", "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n");
        let ending = Ending::Repeat(unit.repeat(500).into_bytes(), Duration::ZERO);
        let script = Script { head, body: Vec::new(), ending };
        servers.push((kind, RawUpstream::start(move |_, _| script.clone()).await));
    }
    servers
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_from_the_store_use_bounded_memory() {
    let (platform, _upstreams, _daemons) = start_deployment(1).await;
    let servers = start_floods().await;
    let start = |(kind, server): &(&'static str, RawUpstream)| {
        let daemon = Daemon::start_at_store(&platform, kind, addresses(), (&[], server.address));
        (*kind, daemon)
    };
    let mut daemons: Vec<_> = servers.iter().map(start).collect();
    tokio::time::sleep(FLOOD_TIME).await;
    for ((kind, daemon), (_, server)) in daemons.iter_mut().zip(&servers) {
        for _ in 0..POLLS_MAX {
            if server.requests().len() >= 3 {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(server.requests().len() >= 3, "{kind}: the store was not called");
        assert_eq!(daemon.child.try_wait().unwrap(), None, "{kind}");
        let peak = peak_memory_kb(daemon);
        println!("store {kind}: {peak} kB, {} calls", server.requests().len());
        assert!(peak < MEMORY_MAX_KB, "{kind}: {peak} kB");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_from_other_daemons_and_the_cloud_use_bounded_memory() {
    let (platform, _upstreams, _daemons) = start_deployment(1).await;
    let servers = start_floods().await;
    let start = |(kind, server): &(&'static str, RawUpstream)| {
        let ports = addresses();
        let settings = platform.settings(kind, &ports, &[server.address]);
        let mut settings: serde_json::Value = serde_json::from_str(&settings).unwrap();
        settings["cloud"]["address"] = server.address.to_string().into();
        (*kind, Daemon::start_with(kind, ports, &settings.to_string()))
    };
    let mut daemons: Vec<_> = servers.iter().map(start).collect();
    tokio::time::sleep(FLOOD_TIME).await;
    for ((kind, daemon), (_, server)) in daemons.iter_mut().zip(&servers) {
        daemon.wait_for("/read/x", 200).await;
        assert!(!server.requests().is_empty(), "{kind}: it was not called");
        assert_eq!(daemon.child.try_wait().unwrap(), None, "{kind}");
        let peak = peak_memory_kb(daemon);
        println!("peers {kind}: {peak} kB, {} calls", server.requests().len());
        assert!(peak < MEMORY_MAX_KB, "{kind}: {peak} kB");
    }
}
