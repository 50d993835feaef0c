use std::ops::{Range, RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::FaultKind;
use crate::fault_list::{FaultList, shorten};

/// Reads the fields of one table and reports their faults.
pub(crate) struct FieldReader<'t> {
    table: &'t DeTable<'t>,
    location: String,
    span: Range<usize>,
}

/// A string value and its span in the text.
pub(crate) struct FieldText<'t> {
    pub(crate) text: &'t str,
    pub(crate) span: Range<usize>,
}

impl<'t> FieldReader<'t> {
    /// Creates a reader, and reports the fields of the table that aren't allowed.
    pub(crate) fn new(
        table: &'t DeTable<'t>,
        location: String,
        span: Range<usize>,
        allowed: &'static [&'static str],
        faults: &mut FaultList<'_>,
    ) -> Self {
        for key in table
            .keys()
            .filter(|key| !allowed.contains(&key.get_ref().as_ref()))
        {
            let fault = FaultKind::UnknownField {
                field: shorten(key.get_ref()),
                location: location.clone(),
                allowed,
            };
            faults.push(fault, key.span());
        }
        Self {
            table,
            location,
            span,
        }
    }

    /// Creates a reader of a table whose field names are arbitrary.
    pub(crate) const fn with_any_fields(
        table: &'t DeTable<'t>,
        location: String,
        span: Range<usize>,
    ) -> Self {
        Self {
            table,
            location,
            span,
        }
    }

    pub(crate) fn table(
        &self,
        field: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<(&'t DeTable<'t>, Range<usize>)> {
        let value = self.get(field)?;
        let table = value.get_ref().as_table();
        let table = self.expect(table, field, value, "a table", faults)?;
        Some((table, value.span()))
    }

    pub(crate) fn flag(&self, field: &'static str, faults: &mut FaultList<'_>) -> Option<bool> {
        let value = self.get(field)?;
        let flag = value.get_ref().as_bool();
        self.expect(flag, field, value, "true or false", faults)
    }

    pub(crate) fn text(
        &self,
        field: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<FieldText<'t>> {
        let value = self.get(field)?;
        let text = value.get_ref().as_str();
        let text = self.expect(text, field, value, "text in quotes", faults)?;
        let span = value.span();
        Some(FieldText { text, span })
    }

    /// Reads a required text.
    pub(crate) fn required_text(
        &self,
        field: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<FieldText<'t>> {
        self.expect_field(field, faults);
        self.text(field, faults)
    }

    pub(crate) fn texts(
        &self,
        field: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Vec<FieldText<'t>> {
        const EXPECTED: &str = "a list of texts in quotes";
        let Some(value) = self.get(field) else {
            return Vec::new();
        };
        let array = value.get_ref().as_array();
        let array = self.expect(array, field, value, EXPECTED, faults);
        let mut texts = Vec::new();
        for item in array.into_iter().flat_map(|array| array.iter()) {
            let text = item.get_ref().as_str();
            let text = self.expect(text, field, item, EXPECTED, faults);
            let span = item.span();
            texts.extend(text.map(|text| FieldText { text, span }));
        }
        texts
    }

    pub(crate) fn number(
        &self,
        field: &str,
        range: RangeInclusive<u64>,
        faults: &mut FaultList<'_>,
    ) -> Option<u64> {
        let value = self.get(field)?;
        let found = match value.get_ref() {
            DeValue::Integer(integer) => integer.to_string(),
            DeValue::Float(float) => float.to_string(),
            _ => return self.expect(None, field, value, "a whole number", faults),
        };
        let number = parse_whole(value.get_ref()).filter(|number| range.contains(number));
        if number.is_none() {
            let fault = FaultKind::OutOfRange {
                location: self.location_of(field),
                min: *range.start(),
                max: *range.end(),
                found: shorten(&found),
            };
            faults.push(fault, value.span());
        }
        number
    }

    /// Reads a required number.
    pub(crate) fn required_number(
        &self,
        field: &'static str,
        range: RangeInclusive<u64>,
        faults: &mut FaultList<'_>,
    ) -> Option<u64> {
        self.expect_field(field, faults);
        self.number(field, range, faults)
    }

    /// Reports a required field that is missing.
    fn expect_field(&self, field: &'static str, faults: &mut FaultList<'_>) {
        if self.get(field).is_none() {
            let location = self.location.clone();
            faults.push(
                FaultKind::MissingField { field, location },
                self.span.clone(),
            );
        }
    }

    fn get(&self, field: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.table.get(field)
    }

    fn location_of(&self, field: &str) -> String {
        format!("\"{field}\" of {}", self.location)
    }

    /// Returns the converted value, or reports that the field has another type than expected.
    fn expect<T>(
        &self,
        value: Option<T>,
        field: &str,
        found: &Spanned<DeValue<'_>>,
        expected: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<T> {
        if value.is_none() {
            let fault = FaultKind::WrongType {
                location: self.location_of(field),
                expected,
                found: type_name(found.get_ref()),
            };
            faults.push(fault, found.span());
        }
        value
    }
}

fn parse_whole(value: &DeValue<'_>) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// Returns the name of a value's type for error messages.
pub(crate) const fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
