//! Peer package for other daemons. Each concern has its own set of calls; a daemon's server merges
//! them.

pub mod gossip;
pub mod transport;

pub use gossip::{GossipClient, GossipServer, Greeting};
pub use transport::{PeerConnection, connect, start_server};
