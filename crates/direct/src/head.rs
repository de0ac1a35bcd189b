//! Heads of responses, and how they delimit the body.
//!
//! All answers that entries read are parsed here: those of backend servers, of the store and of other entries. A
//! head that doesn't conform to RFC 9112 may be damaged where it delimits the body, so none is repaired.

use crate::http::{Framing, HttpError, ResponseHead};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

/// Maximum number of header fields of a response.
const HEADERS_MAX: usize = 64;
/// Maximum number of digits of the size of a chunk. Sizes with as many don't overflow.
const CHUNK_DIGITS_MAX: usize = 15;

/// A response head, and what it says about the connection.
#[derive(Debug)]
pub(crate) struct ParsedHead {
    pub(crate) head: ResponseHead,
    /// How the body is delimited, at its start.
    pub(crate) framing: Framing,
    /// Whether the server closes the connection after the response.
    pub(crate) closes: bool,
    /// Size of the head in bytes.
    pub(crate) size: usize,
}

/// Parses a head at the start of `bytes`. Returns `None` if it is not complete.
pub(crate) fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut fields);
    // The parser skips empty lines before the head.
    if matches!(bytes.first(), Some(b'\r' | b'\n')) {
        return Err(HttpError::Malformed("empty line before the head"));
    }
    let parsed = response.parse(bytes).map_err(|_| HttpError::Malformed("invalid head"))?;
    let httparse::Status::Complete(size) = parsed else { return Ok(None) };
    // The parser accepts lines that end with a line feed alone.
    if !bytes.get(..size).is_some_and(has_whole_line_breaks) {
        return Err(HttpError::Malformed("invalid line break in the head"));
    }
    let status = parse_status(response.code.unwrap_or_default())?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let (name, value) = parse_field(field.name.as_bytes(), field.value)?;
        headers.append(name, value);
    }
    let head = ResponseHead { status, headers };
    let is_first_version = response.version == Some(0);
    let framing = parse_framing(&head, is_first_version)?;
    let closes = is_first_version || framing == Framing::UntilClose || lists_close(&head.headers);
    Ok(Some(ParsedHead { head, framing, closes, size }))
}

fn has_whole_line_breaks(head: &[u8]) -> bool {
    let mut last = 0;
    head.iter().all(|byte| {
        let before = std::mem::replace(&mut last, *byte);
        (before == b'\r') == (*byte == b'\n')
    })
}

fn parse_status(code: u16) -> Result<StatusCode, HttpError> {
    let status = StatusCode::from_u16(code).ok().filter(|status| status.as_u16() < 600);
    // No request asks to switch to another protocol.
    let status = status.filter(|status| *status != StatusCode::SWITCHING_PROTOCOLS);
    status.ok_or(HttpError::Malformed("invalid status code"))
}

fn parse_field(name: &[u8], value: &[u8]) -> Result<(HeaderName, HeaderValue), HttpError> {
    match (HeaderName::from_bytes(name), HeaderValue::from_bytes(value)) {
        (Ok(name), Ok(value)) => Ok((name, value)),
        _ => Err(HttpError::Malformed("invalid header field")),
    }
}

fn parse_framing(head: &ResponseHead, is_first_version: bool) -> Result<Framing, HttpError> {
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter();
    let coding = (codings.next(), codings.next());
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => None,
        (Some(length), None) => Some(parse_length(length.as_bytes())?),
        _ => return Err(HttpError::Malformed("more than one content length")),
    };
    let framing = match (coding, length) {
        ((None, _), None) => Framing::UntilClose,
        ((None, _), Some(length)) => Framing::Length(length),
        ((Some(_), _), Some(_)) => {
            return Err(HttpError::Malformed("content length beside a transfer coding"));
        }
        ((Some(coding), None), None)
            if !is_first_version && coding.as_bytes().eq_ignore_ascii_case(b"chunked") =>
        {
            Framing::ChunkSize
        }
        _ => return Err(HttpError::Malformed("unsupported transfer coding")),
    };
    let status = head.status;
    match framing {
        // It tells the length of the body that is not repeated.
        _ if status == StatusCode::NOT_MODIFIED => Ok(Framing::Done),
        Framing::UntilClose | Framing::Length(0) if has_no_body(status) => Ok(Framing::Done),
        _ if has_no_body(status) => Err(HttpError::Malformed("body of a response without one")),
        framing => Ok(framing),
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status.is_informational()
}

fn parse_length(value: &[u8]) -> Result<u64, HttpError> {
    // Parsing a number also accepts a sign.
    let digits = value.iter().all(u8::is_ascii_digit).then_some(value);
    let text = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let length = text.and_then(|text| text.parse().ok());
    length.ok_or(HttpError::Malformed("invalid content length"))
}

fn lists_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Parses the line before a chunk, without its line break. Returns the size of the chunk.
pub(crate) fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let end = line.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    let text = std::str::from_utf8(digits).ok().filter(|text| text.len() <= CHUNK_DIGITS_MAX);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    let is_text = |byte: &u8| !byte.is_ascii_control() || *byte == b'\t';
    let extends = extension.is_empty()
        || extension.trim_ascii_start().starts_with(b";") && extension.iter().all(is_text);
    size.filter(|_| extends).ok_or(HttpError::Malformed("invalid chunk size"))
}

/// Checks a line of the trailers, without its line break.
pub(crate) fn check_trailer(line: &[u8]) -> Result<(), HttpError> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.unwrap_or_default());
    let (name, _) = parse_field(name, value.trim_ascii())?;
    // They may belong to the head of another response.
    match name == header::CONTENT_LENGTH || name == header::TRANSFER_ENCODING {
        true => Err(HttpError::Malformed("framing field in the trailers")),
        false => Ok(()),
    }
}
