//! Chunks at the beginning of bodies whose heads don't tell of any.

use comfreyramp_http::{ChunkScanner, EventScanner};

/// Bodies that begin with a whole chunk.
const CHUNKED: [&[u8]; 6] = [
    b"5\r\nabcde\r\n0\r\n\r\n",
    b"5\r\nabcde\r\n",
    b"0005 \r\nabcde\r\n0\r\n\r\n",
    b"5;name=value\r\na\r\nde\r\n5\r\nab",
    b"A\r\n0123456789\r\n",
    b"0\r\n\r\n",
];

/// Bodies of text whose lines may look like sizes.
const TEXTS: [&[u8]; 12] = [
    b"",
    b"5",
    b"5\nabcde\n",
    b"5\r\nabcd",
    b"5\r\nabcd\r\n",
    b"5\r\nabcdef\r\n",
    b"5\r\nabcde\n\r",
    b"\r\nabc\r\n",
    b"+5\r\nabcde\r\n",
    b" 5\r\nabcde\r\n",
    b"g\r\nabcde\r\n",
    b"00000000000000000000000000000000005\r\nabcde\r\n",
];

fn begins_with_chunk(body: &[u8], piece: usize) -> bool {
    let mut scanner = ChunkScanner::default();
    for bytes in body.chunks(piece) {
        scanner.push(bytes);
    }
    scanner.has_chunk()
}

/// A chunk must be found wherever the body is divided, and a text must not be taken for one.
#[test]
fn whole_chunks_are_found_in_pieces_of_any_size() {
    for piece in 1..20 {
        for body in CHUNKED {
            let text = body.escape_ascii();
            assert!(begins_with_chunk(body, piece), "{text} in {piece}");
        }
        for body in TEXTS {
            let text = body.escape_ascii();
            assert!(!begins_with_chunk(body, piece), "{text} in {piece}");
        }
    }
}

/// A stream of events must not be refused for lines that are no sizes, or that aren't the first
/// of an event.
#[test]
fn only_a_size_before_an_event_marks_a_stream_as_chunked() {
    let has_size = |stream: &str, piece: usize| {
        let mut scanner = EventScanner::default();
        for bytes in stream.as_bytes().chunks(piece) {
            scanner.push(bytes);
        }
        scanner.has_chunk_size()
    };
    for piece in 1..20 {
        for stream in [
            "f\r\nid: 1\r\n",
            "0F;a=b\r\ndata: a",
            "data: a\n\n\r\nf\r\ndata: b\n\n",
            "data: a\r\n\r\n\r\n1e\r\n",
        ] {
            assert!(has_size(stream, piece), "{stream:?} in {piece}");
        }
        for stream in [
            "f",
            "f\nid: 1\n\n",
            "data: f\r\n\r\n",
            "data: \n\n42\n\n",
            "id: 1\r\nf\r\n\r\n",
            ": f\r\nf\r\n\r\n",
            "data\r\n\r\n",
            "\r\n\r\ndata: 1\r\n\r\n",
        ] {
            assert!(!has_size(stream, piece), "{stream:?} in {piece}");
        }
    }
}
