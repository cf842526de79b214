//! The command line program.

fn main() {}
