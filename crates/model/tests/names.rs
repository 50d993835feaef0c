//! Validation of names from untrusted text.

use lentilshift_model::{NameError, ServiceName};
use rstest::rstest;

#[rstest]
#[case("", NameError::Empty)]
#[case("Archive", NameError::BadCharacter('A'))]
#[case("a b", NameError::BadCharacter(' '))]
#[case("-a", NameError::OuterHyphen)]
#[case("a-", NameError::OuterHyphen)]
fn bad_names_are_refused(#[case] name: &str, #[case] error: NameError) {
    assert_eq!(ServiceName::parse(name), Err(error));
}

#[rstest]
fn names_have_at_most_63_characters() {
    assert!(ServiceName::parse(&"a".repeat(63)).is_ok());
    assert_eq!(
        ServiceName::parse(&"a".repeat(64)),
        Err(NameError::TooLong(64))
    );
}
