//! The lentilshift command.

fn main() {}
