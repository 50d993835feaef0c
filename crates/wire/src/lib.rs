//! Messages and links between nodes.
