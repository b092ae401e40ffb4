//! RPC client and server for the calls between daemons. Each concern has its own RPC trait; the
//! server of a daemon merges their methods.

pub mod config_delta;
pub mod configuration;
pub mod gossip;
pub mod replica;
pub mod status;
pub mod tls;
pub mod transport;

pub use configuration::{ConfigurationSourceClient, ConfigurationSourceServer};
pub use gossip::{GossipClient, GossipServer};
pub use replica::{
    CompletedAnswer, ReadReply, ReadRequest, ReplicaClient, ReplicaServer, ReplicatedRequest,
    RequestUpdate, RequestUpdates,
};
pub use status::{
    ConfigDocument, ConfigNotice, ConfigPiece, ConfigQuestion, StatusExchangeClient,
    StatusExchangeServer,
};
pub use tls::{Tls, TlsError, TlsFiles};
pub use transport::{
    BoundServer, Dialer, PeerConnection, PersistentConnection, bind_server, connect,
};
