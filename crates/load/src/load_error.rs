/// An error that ends a measurement.
pub(crate) type LoadError = Box<dyn std::error::Error>;
