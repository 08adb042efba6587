//! Bodies that follow a frame on a stream.

use wire::{encode, read, read_body};

struct Body {
    case: &'static str,
    sent: &'static [u8],
    length: usize,
    read: Option<&'static [u8]>,
}

#[tokio::test]
async fn a_body_has_the_announced_length_or_is_an_error() {
    let cases = [
        Body { case: "whole", sent: b"abc", length: 3, read: Some(b"abc") },
        Body { case: "empty", sent: b"", length: 0, read: Some(b"") },
        Body { case: "cut", sent: b"ab", length: 3, read: None },
        Body { case: "longer", sent: b"abcd", length: 3, read: None },
    ];
    for case in cases {
        let sent = [&encode(&7u32).unwrap()[..], case.sent].concat();
        let mut stream = &sent[..];
        assert_eq!(read::<u32>(&mut stream).await.unwrap(), 7, "{}", case.case);
        let body = read_body(&mut stream, case.length).await.ok();
        assert_eq!(body.as_deref(), case.read, "{}", case.case);
    }
}
