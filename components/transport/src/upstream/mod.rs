//! HTTP client connections to backend servers.

pub mod body;
pub mod connection;
pub mod counting_stream;
pub mod exchange;
pub mod pool;

pub use body::RequestBody;
pub use connection::{ConnectError, Connection};
pub use exchange::{Exchange, SendError};
pub use pool::ConnectionPool;
