//! The boundaries of requests on a connection.

use lentilshift_node::{
    BodyFraming, ChunkReader, ChunkStep, HeadFrame, HeadParse, has_head_end, parse_head,
    read_request,
};
use rstest::rstest;

const PLAIN: &str = "GET /a/b?c HTTP/1.1\r\nHost: a\r\nX-B: 1\r\n\r\n";

#[rstest]
#[case::read(
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    BodyFraming::Length(0),
    true,
    false
)]
#[case::head(
    "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
    BodyFraming::Length(0),
    true,
    false
)]
#[case::no_body(
    "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    BodyFraming::Length(0),
    true,
    false
)]
#[case::body(
    "POST / HTTP/1.1\r\ncontent-length: 31\r\n\r\n",
    BodyFraming::Length(31),
    false,
    false
)]
#[case::same_length_twice(
    "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\n",
    BodyFraming::Length(3),
    false,
    false
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::signed(
    "GET / HTTP/1.1\r\ncontent-length: +3\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::too_long(
    "GET / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::chunked(
    "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
    BodyFraming::Chunks,
    false,
    false
)]
#[case::chunked_and_length(
    "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::chunked_twice(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::compressed_chunks(
    "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::chunked_in_the_old_version(
    "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::upgrade(
    "GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::connect(
    "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    BodyFraming::Unknown,
    false,
    false
)]
#[case::expectation(
    "PUT / HTTP/1.1\r\ncontent-length: 9\r\nexpect: 100-continue\r\n\r\n",
    BodyFraming::Length(9),
    false,
    false
)]
#[case::close(
    "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
    BodyFraming::Length(0),
    true,
    true
)]
#[case::old_version(
    "GET / HTTP/1.0\r\nhost: a\r\n\r\n",
    BodyFraming::Length(0),
    false,
    false
)]
#[case::empty_line_first(
    "\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n",
    BodyFraming::Length(0),
    true,
    false
)]
fn heads_are_classified(
    #[case] head: &str,
    #[case] framing: BodyFraming,
    #[case] is_plain: bool,
    #[case] is_last: bool,
) {
    let expected = HeadFrame {
        bytes: head.len(),
        framing,
        is_last,
        is_plain,
    };
    let with_more = format!("{head}GET /next HTTP/1.1\r\n");
    assert_eq!(parse_head(head.as_bytes()), HeadParse::Complete(expected));
    assert_eq!(
        parse_head(with_more.as_bytes()),
        HeadParse::Complete(expected)
    );
}

#[rstest]
#[case::nonsense("NONSENSE\r\n\r\n")]
#[case::h2_preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")]
#[case::header_without_colon("GET / HTTP/1.1\r\nnonsense\r\n\r\n")]
fn other_bytes_are_invalid(#[case] text: &str) {
    assert_eq!(parse_head(text.as_bytes()), HeadParse::Invalid);
}

#[test]
fn every_shorter_part_of_a_head_is_partial() {
    for end in 0..PLAIN.len() {
        assert_eq!(parse_head(&PLAIN.as_bytes()[..end]), HeadParse::Partial);
    }
}

#[test]
fn the_end_of_a_head_is_found_wherever_the_search_resumes() {
    let bytes = PLAIN.as_bytes();
    for scanned in 0..bytes.len() {
        assert!(!has_head_end(&bytes[..scanned], 0), "{scanned}");
        assert!(has_head_end(bytes, scanned), "{scanned}");
    }
    assert!(!has_head_end(b"", 0));
}

#[test]
fn a_request_is_read_from_its_head() {
    let request = read_request(PLAIN.as_bytes()).unwrap();
    assert_eq!(request.method(), "GET");
    assert_eq!(request.uri(), "/a/b?c");
    assert_eq!(request.headers()["host"], "a");
    assert_eq!(request.headers()["x-b"], "1");
    assert!(read_request(&PLAIN.as_bytes()[..20]).is_none());
}

#[rstest]
#[case::none("0\r\n\r\n")]
#[case::one("3\r\nabc\r\n0\r\n\r\n")]
#[case::hexadecimal("00000000000001A\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n")]
#[case::line_ends_in_data("6\r\n\r\n0\r\n\n\r\n0\r\n\r\n")]
#[case::extensions("1;a=b\r\nx\r\n0 ;c\r\n\r\n")]
#[case::trailers("0\r\nx-a: 1\r\nx-b: 2\r\n\r\n")]
fn the_end_of_chunks_is_found_in_any_pieces(#[case] body: &str) {
    let bytes = [body.as_bytes(), b"GET / HTTP/1.1\r\n"].concat();
    for piece_bytes in 1..=bytes.len() {
        let mut reader = ChunkReader::default();
        let mut before = 0;
        let end = bytes.chunks(piece_bytes).find_map(|piece| {
            let step = reader.read(piece);
            before += piece.len();
            match step {
                ChunkStep::More => None,
                ChunkStep::End(count) => Some(before - piece.len() + count),
                ChunkStep::Invalid => panic!("{body:?} is valid"),
            }
        });
        assert_eq!(end, Some(body.len()), "pieces of {piece_bytes}");
    }
}

#[rstest]
#[case::no_size("\r\n")]
#[case::no_number("x\r\n")]
#[case::sign("+1\r\n")]
#[case::space_first(" 1\r\n")]
#[case::line_feed_alone("1\nx")]
#[case::line_feed_in_an_extension("1;a\n")]
#[case::return_alone("1\rx")]
#[case::longer_data("1\r\nxy\r\n")]
#[case::too_large("1000000000000000\r\n")]
#[case::line_feed_in_a_trailer("0\r\na: 1\n\r\n")]
#[case::no_line_behind_the_last("0\r\n\n")]
fn other_chunks_are_invalid(#[case] body: &str) {
    let mut reader = ChunkReader::default();
    assert_eq!(reader.read(body.as_bytes()), ChunkStep::Invalid);
}
