//! Stand-ins (test doubles) for the platform and for backend servers, and the load tool.
//!
//! They inject the faults that entry hosts have to survive. Nothing in an entry host depends
//! on them.

pub mod backend;
pub mod balancer;
pub mod config_run;
pub mod demo;
pub mod fleet;
pub mod history;
mod http_server;
pub mod load;
pub mod proxy;
pub mod site;
pub mod store;
