//! The commands of the program, with one module for each.

pub mod check;
pub mod data_centre;
pub mod demo;
pub mod entry;
pub mod host;
pub mod load;
pub mod operator;
pub mod preset;
pub mod serve;
pub mod stand_in;
pub mod status;
