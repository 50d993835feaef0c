use serde::Deserialize;
use serde::de::{Error, SeqAccess};

/// Reads the fields of a head in order, and reports the number of fields expected when one is missing.
pub(crate) struct FieldReader<A> {
    fields: A,
    count: usize,
    read_count: usize,
}

impl<'de, A: SeqAccess<'de>> FieldReader<A> {
    /// Creates a reader of a sequence of `count` fields.
    pub(crate) const fn new(fields: A, count: usize) -> Self {
        Self {
            fields,
            count,
            read_count: 0,
        }
    }

    /// Returns the next field.
    pub(crate) fn next<T: Deserialize<'de>>(&mut self) -> Result<T, A::Error> {
        let field = self.fields.next_element()?;
        let count = self.count;
        let field = field.ok_or_else(|| {
            let expected = format!("a head of {count} fields");
            A::Error::invalid_length(self.read_count, &expected.as_str())
        })?;
        self.read_count += 1;
        Ok(field)
    }
}
