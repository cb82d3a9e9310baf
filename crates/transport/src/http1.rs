//! Decoder of HTTP/1.1 messages.
//!
//! [`Decoder`] takes bytes as they arrive and returns complete messages. `httparse` parses the
//! heads. The framing of bodies follows RFC 9112, but everything that two parsers could read
//! differently is rejected, so that no smuggled request reaches an endpoint.

use std::io;
use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::buffer::{BodyBuffer, MAX_HEAP_BYTES};

#[cfg(test)]
mod tests;

/// Maximum number of header fields in a message.
const MAX_HEADER_FIELDS: usize = 100;

/// Maximum length of a chunk-size line, extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Statuses of final responses.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Statuses of interim responses, which have no body.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;

/// Why bytes are rejected as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The head is not valid HTTP/1.1 or 1.0.
    Head,
    /// The head is longer than allowed.
    HeadTooLarge,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The length of the body is ambiguous or invalid.
    Framing,
}

/// Kind of message that is received on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Request of a client.
    Request,
    /// Response of a server.
    Response,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body comes in chunks.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Range of bytes in the raw head.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

/// Head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    raw: Bytes,
    method: Span,
    target: Span,
    fields: Vec<(Span, Span)>,
    /// Status of a response, 0 for a request.
    pub status: u16,
    /// Whether the message is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the sender closes the connection after this message or asks to close it.
    pub close: bool,
}

impl Head {
    fn bytes(&self, span: Span) -> &[u8] {
        &self.raw[span.start as usize..span.end as usize]
    }

    /// Returns the length of the head in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.raw.len()
    }

    /// Returns the method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        std::str::from_utf8(self.bytes(self.method)).unwrap_or("")
    }

    /// Returns the target of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.bytes(self.target)).unwrap_or("")
    }

    /// Returns the first value of a header field; names are case-insensitive.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields()
            .find(|(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the first value of a header field as text without surrounding white space.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.field(name)?).ok().map(str::trim)
    }

    /// Returns all header fields in order.
    pub fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields
            .iter()
            .map(|(name, value)| (self.bytes(*name), self.bytes(*value)))
    }
}

/// A complete message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Head.
    pub head: Head,
    /// Body with the transfer coding removed.
    pub body: Bytes,
}

/// Part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Decodes messages from bytes as they arrive.
#[derive(Debug)]
pub struct Decoder {
    kind: MessageKind,
    max_head: usize,
    max_body: usize,
    head: Option<Head>,
    body: BodyBuffer,
    chunk: ChunkState,
    /// Bytes of the trailer section read so far.
    trailer_bytes: usize,
}

impl Decoder {
    /// Returns a decoder for one direction of a connection; limits in bytes.
    #[must_use]
    pub fn new(kind: MessageKind, max_head: usize, max_body: usize) -> Self {
        Self {
            kind,
            max_head,
            max_body,
            head: None,
            body: BodyBuffer::default(),
            chunk: ChunkState::Size,
            trailer_bytes: 0,
        }
    }

    /// Changes the limits; both in bytes. An accepted head or `Content-Length` is not checked
    /// again.
    pub fn set_limits(&mut self, max_head: usize, max_body: usize) {
        self.max_head = max_head;
        self.max_body = max_body;
    }

    /// Returns the head of the message whose body is still incomplete.
    #[must_use]
    pub fn pending(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the bytes of the incomplete body that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Reads the next bytes of a message: of a body with a length to the body itself, so that they
    /// are not copied, else to the buffer. Returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the read fails.
    pub async fn read_from(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
    ) -> io::Result<usize> {
        let framing = self.head.as_ref().map(|head| head.framing);
        match framing {
            Some(Framing::Length(length)) if buffer.is_empty() && self.body.len() < length => {
                // A body that grew would be copied, and held twice meanwhile.
                self.body.reserve(length);
                let missing = length - self.body.len();
                self.body.read_from(reader, missing).await
            }
            _ => reader.read_buf(buffer).await,
        }
    }

    /// Whether the body of the message in progress has been read whole.
    #[must_use]
    pub fn has_whole_body(&self) -> bool {
        let framing = self.head.as_ref().map(|head| head.framing);
        matches!(framing, Some(Framing::Length(length)) if self.body.len() == length)
    }

    /// Takes the bytes of the next message from the buffer.
    ///
    /// Returns the message once it is complete, and `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are rejected. The connection cannot be used any more.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, DecodeError> {
        let is_new = self.head.is_none();
        if is_new {
            self.head = self.take_head(buffer)?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let is_complete = match head.framing {
            Framing::Empty => true,
            Framing::Length(length) => {
                if self.body.is_empty() && buffer.len() >= length {
                    self.body = buffer.split_to(length).into();
                } else if is_new {
                    // The caller first sees how much memory the body needs.
                    return Ok(None);
                } else {
                    self.body.reserve(length);
                    let missing = length - self.body.len();
                    let part = buffer.split_to(missing.min(buffer.len()));
                    self.body.extend_from_slice(&part);
                }
                self.body.len() == length
            }
            Framing::Chunked => self.take_chunks(buffer)?,
            Framing::UntilClose => {
                if self.body.len() + buffer.len() > self.max_body {
                    return Err(DecodeError::BodyTooLarge);
                }
                append(&mut self.body, &buffer.split(), self.max_body);
                false
            }
        };
        Ok(if is_complete { self.finish() } else { None })
    }

    /// Handles an orderly close of the connection, which ends a body without a length.
    ///
    /// Returns `None` if no message was in progress or its body is incomplete.
    pub fn handle_close(&mut self) -> Option<Message> {
        match self.head.as_ref()?.framing {
            Framing::UntilClose => self.finish(),
            _ => None,
        }
    }

    fn finish(&mut self) -> Option<Message> {
        let head = self.head.take()?;
        self.chunk = ChunkState::Size;
        self.trailer_bytes = 0;
        let body = std::mem::take(&mut self.body).freeze();
        Some(Message { head, body })
    }

    fn take_head(&self, buffer: &mut BytesMut) -> Result<Option<Head>, DecodeError> {
        // Empty lines before a request are allowed by RFC 9112, section 2.2.
        while self.kind == MessageKind::Request && matches!(buffer.first(), Some(b'\r' | b'\n')) {
            buffer.advance(1);
        }
        if buffer.is_empty() {
            return Ok(None);
        }
        let parsed = match self.kind {
            MessageKind::Request => parse_request(buffer)?,
            MessageKind::Response => parse_response(buffer)?,
        };
        let Some((length, mut head)) = parsed else {
            return if buffer.len() > self.max_head {
                Err(DecodeError::HeadTooLarge)
            } else {
                Ok(None)
            };
        };
        if length > self.max_head {
            return Err(DecodeError::HeadTooLarge);
        }
        head.raw = buffer.split_to(length).freeze();
        head.framing = framing(&head, self.kind)?;
        head.close = closes_connection(&head);
        if let Framing::Length(length) = head.framing
            && length > self.max_body
        {
            return Err(DecodeError::BodyTooLarge);
        }
        Ok(Some(head))
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, DecodeError> {
        loop {
            match self.chunk {
                ChunkState::Size => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE_BYTES)? else {
                        return Ok(false);
                    };
                    let size = parse_chunk_size(&line)?;
                    if self.body.len().saturating_add(size) > self.max_body {
                        return Err(DecodeError::BodyTooLarge);
                    }
                    self.chunk = if size == 0 {
                        ChunkState::Trailer
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::Data(size) => {
                    let part = buffer.split_to(size.min(buffer.len()));
                    append(&mut self.body, &part, self.max_body);
                    if part.len() < size {
                        self.chunk = ChunkState::Data(size - part.len());
                        return Ok(false);
                    }
                    self.chunk = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer, 2)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(DecodeError::Framing);
                    }
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(buffer, self.max_head)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    // Trailer fields are dropped, so only their total length bounds them.
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > self.max_head {
                        return Err(DecodeError::Framing);
                    }
                }
            }
        }
    }
}

/// Appends to a body whose size is not known. A large one gets room for the largest at once: growing
/// would copy it, and the memory is used only as it is written.
fn append(body: &mut BodyBuffer, part: &[u8], max_body: usize) {
    if body.len() + part.len() > MAX_HEAP_BYTES {
        body.reserve(max_body);
    }
    body.extend_from_slice(part);
}

/// Takes a line from the buffer, without its CRLF; `None` while it is incomplete.
fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, DecodeError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > max_bytes {
            Err(DecodeError::Framing)
        } else {
            Ok(None)
        };
    };
    let mut line = buffer.split_to(end + 1);
    if end == 0 || line[end - 1] != b'\r' {
        return Err(DecodeError::Framing);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, DecodeError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // Eight hexadecimal digits reach 4 GB, far above any body limit.
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(DecodeError::Framing);
    }
    let text = std::str::from_utf8(digits).map_err(|_| DecodeError::Framing)?;
    usize::from_str_radix(text, 16).map_err(|_| DecodeError::Framing)
}

fn span(buffer: &[u8], part: &[u8]) -> Span {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    Span {
        start: start as u32,
        end: (start + part.len()) as u32,
    }
}

fn field_spans(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    headers
        .iter()
        .map(|header| {
            (
                span(buffer, header.name.as_bytes()),
                span(buffer, header.value),
            )
        })
        .collect()
}

/// Span of the method and of the target in a response, which has neither.
const EMPTY_SPAN: Span = Span { start: 0, end: 0 };

fn parse_request(buffer: &[u8]) -> Result<Option<(usize, Head)>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buffer) {
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(DecodeError::Head),
        Ok(httparse::Status::Complete(length)) => {
            let method = request.method.ok_or(DecodeError::Head)?;
            let target = request.path.ok_or(DecodeError::Head)?;
            let head = Head {
                raw: Bytes::new(),
                method: span(buffer, method.as_bytes()),
                target: span(buffer, target.as_bytes()),
                fields: field_spans(buffer, request.headers),
                status: 0,
                is_http11: request.version == Some(1),
                framing: Framing::Empty,
                close: false,
            };
            Ok(Some((length, head)))
        }
    }
}

fn parse_response(buffer: &[u8]) -> Result<Option<(usize, Head)>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer) {
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(DecodeError::Head),
        Ok(httparse::Status::Complete(length)) => {
            let status = response.code.ok_or(DecodeError::Head)?;
            if !FINAL_STATUSES.contains(&status) && !INTERIM_STATUSES.contains(&status) {
                return Err(DecodeError::Head);
            }
            let head = Head {
                raw: Bytes::new(),
                method: EMPTY_SPAN,
                target: EMPTY_SPAN,
                fields: field_spans(buffer, response.headers),
                status,
                is_http11: response.version == Some(1),
                framing: Framing::Empty,
                close: false,
            };
            Ok(Some((length, head)))
        }
    }
}

/// Determines the framing of a body (RFC 9112, section 6.3). A repeated or malformed length, a
/// length together with chunks, and transfer codings other than `chunked` are rejected.
fn framing(head: &Head, kind: MessageKind) -> Result<Framing, DecodeError> {
    let mut length = None;
    let mut chunked = false;
    for (name, value) in head.fields() {
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(value).map_err(|_| DecodeError::Framing)?;
            let digits = value.trim();
            if length.is_some() || digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit())
            {
                return Err(DecodeError::Framing);
            }
            length = Some(digits.parse().map_err(|_| DecodeError::Framing)?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if chunked || !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(DecodeError::Framing);
            }
            chunked = true;
        }
    }
    if chunked && (length.is_some() || !head.is_http11) {
        return Err(DecodeError::Framing);
    }
    let is_interim = kind == MessageKind::Response && INTERIM_STATUSES.contains(&head.status);
    // The bytes of its body would be taken for the final response.
    if is_interim && (chunked || length.is_some_and(|length| length > 0)) {
        return Err(DecodeError::Framing);
    }
    let has_no_body =
        is_interim || (kind == MessageKind::Response && matches!(head.status, 204 | 304));
    Ok(match (has_no_body, chunked, length, kind) {
        (true, ..) => Framing::Empty,
        (_, true, ..) => Framing::Chunked,
        (_, _, Some(0), _) | (_, _, None, MessageKind::Request) => Framing::Empty,
        (_, _, Some(length), _) => Framing::Length(length),
        (_, _, None, MessageKind::Response) => Framing::UntilClose,
    })
}

fn closes_connection(head: &Head) -> bool {
    let listed = |option: &str| {
        head.fields().any(|(name, value)| {
            name.eq_ignore_ascii_case(b"connection")
                && value
                    .split(|byte| *byte == b',')
                    .any(|item| item.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
        })
    };
    if head.is_http11 {
        listed("close")
    } else {
        !listed("keep-alive")
    }
}
