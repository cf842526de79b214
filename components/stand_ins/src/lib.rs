//! Small fakes of the platform and of backend servers, and the load tool.
//!
//! They are there to cause what fails. Nothing of an entry host depends on them.

pub mod backend;
pub mod balancer;
pub mod config_run;
pub mod demo;
pub mod fleet;
pub mod history;
pub mod load;
pub mod proxy;
pub mod site;
pub mod store;
