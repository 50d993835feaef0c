//! Key digests: their text form, and that the key itself is never printed.

use lentilshift_streams::KeyDigest;
use rstest::rstest;

const ABC_DIGEST: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

#[test]
fn digest_is_sha_256() {
    assert_eq!(KeyDigest::of_key(b"abc").to_string(), ABC_DIGEST);
}

#[test]
fn digest_round_trips_through_json() {
    let digest = KeyDigest::of_key(b"abc");
    let json = serde_json::to_string(&digest).unwrap();
    assert_eq!(json, format!("\"{ABC_DIGEST}\""));
    assert_eq!(serde_json::from_str::<KeyDigest>(&json).unwrap(), digest);
}

#[test]
fn key_is_not_printed() {
    let digest = KeyDigest::of_key(b"secret-key");
    assert!(!format!("{digest} {digest:?}").contains("secret-key"));
}

#[rstest]
#[case("")]
#[case("ba78")]
#[case("zz7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")]
#[case("+a7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")]
fn bad_digest_is_refused(#[case] text: &str) {
    assert_eq!(KeyDigest::parse(text), None);
    assert!(serde_json::from_str::<KeyDigest>(&format!("\"{text}\"")).is_err());
}
