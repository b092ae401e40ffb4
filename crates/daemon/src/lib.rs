//! Peer package for other daemons. Each concern has its own set of calls; a daemon's server merges
//! them.

pub mod configuration;
pub mod gossip;
pub mod replica;
pub mod status;
pub mod tls;
pub mod transport;

pub use configuration::{ConfigurationSourceClient, ConfigurationSourceServer};
pub use gossip::{GossipClient, GossipServer};
pub use replica::{
    Ending, Held, ReadReply, ReadRequest, ReplicaClient, ReplicaServer, Update, Updates,
};
pub use status::{Document, StatusesClient, StatusesServer};
pub use tls::{Tls, TlsError, TlsFiles};
pub use transport::{BoundServer, Dialer, KeptConnection, PeerConnection, bind_server, connect};
