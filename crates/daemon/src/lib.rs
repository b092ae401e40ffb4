//! Peer package for other daemons. Each concern has its own set of calls; a daemon's server merges
//! them.

pub mod configuration;
pub mod gossip;
pub mod transport;

pub use configuration::{ConfigurationSourceClient, ConfigurationSourceServer};
pub use gossip::{GossipClient, GossipServer};
pub use transport::{
    BoundServer, KeptConnection, PeerConnection, bind_server, connect, open, start_server,
};
