//! The result of the guard doesn't depend on how its input is split.

use std::io::Cursor;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use laburnumtide::http::{FAULT_METHOD, GuardLimits, GuardedStream};
use proptest::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

const LIMITS: GuardLimits = GuardLimits {
    header_count: 20,
    header_bytes: 500,
    header_time: Duration::from_secs(60),
    write_time: Duration::from_secs(60),
};

/// A reader that returns bytes in chunks of given sizes.
struct Parts {
    bytes: Cursor<Vec<u8>>,
    sizes: Vec<usize>,
    next: usize,
}

impl AsyncRead for Parts {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let at = self.bytes.position() as usize;
        let size = self.sizes[self.next % self.sizes.len()].min(buf.remaining());
        self.next += 1;
        let end = (at + size).min(self.bytes.get_ref().len());
        buf.put_slice(&self.bytes.get_ref()[at..end]);
        self.bytes.set_position(end as u64);
        Poll::Ready(Ok(()))
    }
}

/// Returns the bytes that the guard passes on until an empty read marks the end of the stream.
fn pass(bytes: &[u8], sizes: Vec<usize>) -> Vec<u8> {
    let parts = Parts {
        bytes: Cursor::new(bytes.to_vec()),
        sizes,
        next: 0,
    };
    let mut guard = GuardedStream::new(parts, LIMITS);
    let mut out = Vec::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        // A guard that has refused a head stays pending, and one with a malformed body fails.
        let wait = Duration::from_millis(1);
        while let Ok(Ok(size)) = tokio::time::timeout(wait, guard.read_buf(&mut out)).await {
            if size == 0 {
                break;
            }
        }
    });
    out
}

fn message() -> impl Strategy<Value = String> {
    let body = "[ab\r\n0]{0,20}";
    let get = Just("GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_owned());
    let sized = body.prop_map(|body: String| {
        let length = body.len();
        format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
    });
    let chunks = proptest::collection::vec("[ab\r\n0]{1,20}", 0..4);
    let chunked = chunks.prop_map(|chunks| {
        let mut text =
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
        for chunk in chunks {
            text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        }
        text + "0\r\n\r\n"
    });
    prop_oneof![get, sized, chunked]
}

proptest! {
    /// Guards against bytes that are lost or changed depending on how the network splits a request.
    #[test]
    fn well_formed_requests_pass_unchanged(
        messages in proptest::collection::vec(message(), 1..6),
        sizes in proptest::collection::vec(1_usize..40, 1..8),
    ) {
        let text = messages.concat();
        prop_assert_eq!(pass(text.as_bytes(), sizes), text.as_bytes());
    }

    /// Guards against malformed input that is detected only if it arrives in one chunk.
    #[test]
    fn malformed_input_is_detected_in_every_split(
        messages in proptest::collection::vec(message(), 0..3),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        sizes in proptest::collection::vec(1_usize..40, 1..8),
    ) {
        let mut bytes = messages.concat().into_bytes();
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let index = at.index(bytes.len());
        bytes[index] = byte;
        let unsplit = pass(&bytes, vec![bytes.len()]);
        let split = pass(&bytes, sizes);
        let fault = |out: &[u8]| {
            let text = String::from_utf8_lossy(out).into_owned();
            text.find(FAULT_METHOD).map(|at| text[at..].to_owned())
        };
        prop_assert_eq!(fault(&unsplit), fault(&split));
        prop_assert!(unsplit.starts_with(&split) || split.starts_with(&unsplit));
    }
}
