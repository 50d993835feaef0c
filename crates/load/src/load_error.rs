/// Why a measurement can't go on.
pub(crate) type LoadError = Box<dyn std::error::Error>;
