//! Reading of the head of a response, with bounds on its length and on the work of parsing it.

use std::mem;

use bytes::{Buf, BytesMut};
use snafu::Snafu;

/// Maximum number of headers of a response; awc has the same limit.
const MAX_HEADERS: usize = 96;

/// Maximum length of the head of a response, including the interim responses and blank lines before it, in bytes.
const MAX_HEAD: usize = 128 << 10;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM: usize = 16;

/// Version that starts the head of an HTTP/1.1 response.
const HTTP_1_1: &[u8] = b"HTTP/1.1";

/// Reason why the received bytes cannot become the head of a response.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadError {
    #[snafu(display("not an HTTP response: {source}"))]
    Malformed { source: httparse::Error },
    #[snafu(display("the head exceeds {MAX_HEAD} bytes"))]
    TooLong,
    #[snafu(display("more than {MAX_INTERIM} interim responses"))]
    Interim,
    #[snafu(display("an upgrade that was not requested"))]
    Upgrade,
    #[snafu(display("the status {status:03} is no status"))]
    Status { status: u16 },
}

/// Received part of the head of a response.
#[derive(Debug, Default)]
pub(crate) struct Head {
    bytes: BytesMut,
    /// Length of all received bytes, including those of skipped interim responses.
    received: usize,
    /// Number of skipped interim responses.
    interim: usize,
    /// Length from which the head is parsed although no further line has ended.
    parse_at: usize,
}

impl Head {
    /// Appends received bytes. Returns all bytes from the start of the final response once its head is complete.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<Option<BytesMut>, HeadError> {
        self.bytes.extend_from_slice(piece);
        self.received += piece.len();
        // A head that arrives in small pieces is not parsed anew for each of them.
        let is_due = piece.contains(&b'\n') || self.bytes.len() >= self.parse_at;
        if is_due {
            self.parse_at = 2 * self.bytes.len();
            if self.skip_to_final_response()? {
                return Ok(Some(self.take()));
            }
        }
        if self.received > MAX_HEAD { TooLongSnafu.fail() } else { Ok(None) }
    }

    /// Removes and returns the received bytes.
    pub(crate) fn take(&mut self) -> BytesMut {
        mem::take(&mut self.bytes)
    }

    /// Removes blank lines and whole interim responses. Returns whether a whole final head follows.
    fn skip_to_final_response(&mut self) -> Result<bool, HeadError> {
        loop {
            self.skip_blank_lines();
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = parser().parse_response(&mut response, &self.bytes);
            let parsed = parsed.map_err(|source| HeadError::Malformed { source })?;
            let httparse::Status::Complete(len) = parsed else { return Ok(false) };
            match response.code {
                Some(101) => return UpgradeSnafu.fail(),
                Some(100..200) => self.bytes.advance(len),
                Some(200..600) => return Ok(true),
                status => return StatusSnafu { status: status.unwrap_or_default() }.fail(),
            }
            self.interim += 1;
            if self.interim > MAX_INTERIM {
                return InterimSnafu.fail();
            }
        }
    }

    fn skip_blank_lines(&mut self) {
        loop {
            match &*self.bytes {
                [b'\r', b'\n', ..] => self.bytes.advance(2),
                [b'\n', ..] => self.bytes.advance(1),
                _ => return,
            }
        }
    }
}

/// Returns a parser that accepts what awc accepts.
fn parser() -> httparse::ParserConfig {
    let mut parser = httparse::ParserConfig::default();
    parser.allow_spaces_after_header_name_in_responses(true);
    parser
}

/// Changes the version of a response whose body extends to the close of the connection to HTTP/1.0.
pub(crate) fn downgrade_version(head: &mut BytesMut) {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = parser().parse_response(&mut response, head);
    let Ok(httparse::Status::Complete(_)) = parsed else { return };
    let states_length = response.headers.iter().any(|header| {
        let is_coding = header.name.eq_ignore_ascii_case("transfer-encoding");
        header.name.eq_ignore_ascii_case("content-length")
            || (is_coding && !is_identity(header.value))
    });
    let has_body = response.code.is_some_and(|code| code != 204 && code != 304);
    if !states_length && has_body && head.starts_with(HTTP_1_1) {
        head[HTTP_1_1.len() - 1] = b'0';
    }
}

/// Returns whether a transfer coding leaves the body as it is and therefore does not show its end.
pub(crate) fn is_identity(coding: &[u8]) -> bool {
    coding.trim_ascii().eq_ignore_ascii_case(b"identity")
}
