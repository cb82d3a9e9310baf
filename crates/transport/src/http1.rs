//! HTTP/1.1 messages on byte buffers.
//!
//! [`Decoder`] takes bytes as they arrive and returns whole messages. Heads are parsed by
//! `httparse`; the framing of bodies follows RFC 9112 and refuses everything that two parsers could
//! read in different ways, because a smuggled request must not reach an endpoint.

use bytes::{Buf, Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Header fields that one message may have.
const MAX_FIELDS: usize = 100;

/// Bytes of a chunk-size line, extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// Why bytes are no acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The head is no HTTP/1.1.
    Head,
    /// The head is longer than allowed.
    HeadTooLarge,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The length of the body is ambiguous or unreadable.
    Framing,
}

/// Kind of message that a connection carries towards us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests of a client.
    Request,
    /// Answers of a server.
    Response,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    from: u32,
    to: u32,
}

/// Head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    raw: Bytes,
    method: Span,
    target: Span,
    fields: Vec<(Span, Span)>,
    /// Status of an answer, 0 for a request.
    pub status: u16,
    /// Whether the message is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Whether the sender closes or wants to close the connection after this message.
    pub close: bool,
}

impl Head {
    fn bytes(&self, span: Span) -> &[u8] {
        &self.raw[span.from as usize..span.to as usize]
    }

    /// Method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        std::str::from_utf8(self.bytes(self.method)).unwrap_or("")
    }

    /// Target of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.bytes(self.target)).unwrap_or("")
    }

    /// First value of a header field; names are compared without case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields()
            .find(|(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// First value of a header field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.field(name)?).ok().map(str::trim)
    }

    /// All header fields in order.
    pub fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields
            .iter()
            .map(|(name, value)| (self.bytes(*name), self.bytes(*value)))
    }
}

/// A whole message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Head.
    pub head: Head,
    /// Body without transfer coding.
    pub body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Collects bytes into whole messages.
#[derive(Debug)]
pub struct Decoder {
    side: MessageKind,
    max_head: usize,
    max_body: usize,
    head: Option<Head>,
    body: BytesMut,
    chunk: Chunk,
}

impl Decoder {
    /// A collector for one direction of a connection; limits in bytes.
    #[must_use]
    pub fn new(side: MessageKind, max_head: usize, max_body: usize) -> Self {
        Self {
            side,
            max_head,
            max_body,
            head: None,
            body: BytesMut::new(),
            chunk: Chunk::Size,
        }
    }

    /// Changes the limits for messages that have not begun; both in bytes.
    pub fn set_limits(&mut self, max_head: usize, max_body: usize) {
        self.max_head = max_head;
        self.max_body = max_body;
    }

    /// Head of the message whose body is still incomplete.
    #[must_use]
    pub fn pending(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Takes what belongs to the next message from the buffer.
    ///
    /// Returns the message when it is whole, and `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no acceptable message. The connection cannot be used further.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, DecodeError> {
        if self.head.is_none() {
            self.head = self.take_head(buffer)?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let whole = match head.framing {
            Framing::Empty => true,
            Framing::Length(length) => {
                if self.body.is_empty() && buffer.len() >= length {
                    self.body = buffer.split_to(length);
                } else {
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
                self.body.extend_from_slice(&buffer.split());
                false
            }
        };
        Ok(if whole { self.finish() } else { None })
    }

    /// Ends a body that is delimited by an orderly close.
    ///
    /// Returns `None` when no message was due or its body is incomplete.
    pub fn handle_close(&mut self) -> Option<Message> {
        match self.head.as_ref()?.framing {
            Framing::UntilClose => self.finish(),
            _ => None,
        }
    }

    fn finish(&mut self) -> Option<Message> {
        let head = self.head.take()?;
        self.chunk = Chunk::Size;
        let body = std::mem::take(&mut self.body).freeze();
        Some(Message { head, body })
    }

    fn take_head(&self, buffer: &mut BytesMut) -> Result<Option<Head>, DecodeError> {
        // Empty lines before a request are allowed by RFC 9112, section 2.2.
        while self.side == MessageKind::Request && matches!(buffer.first(), Some(b'\r' | b'\n')) {
            buffer.advance(1);
        }
        if buffer.is_empty() {
            return Ok(None);
        }
        let parsed = match self.side {
            MessageKind::Request => parse_request(buffer)?,
            MessageKind::Response => parse_answer(buffer)?,
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
        head.framing = framing(&head, self.side)?;
        head.close = closes(&head);
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
                Chunk::Size => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else {
                        return Ok(false);
                    };
                    let size = chunk_size(&line)?;
                    if self.body.len().saturating_add(size) > self.max_body {
                        return Err(DecodeError::BodyTooLarge);
                    }
                    self.chunk = if size == 0 {
                        Chunk::Trailer
                    } else {
                        Chunk::Data(size)
                    };
                }
                Chunk::Data(size) => {
                    let part = buffer.split_to(size.min(buffer.len()));
                    self.body.extend_from_slice(&part);
                    if part.len() < size {
                        self.chunk = Chunk::Data(size - part.len());
                        return Ok(false);
                    }
                    self.chunk = Chunk::DataEnd;
                }
                Chunk::DataEnd => {
                    let Some(line) = take_line(buffer, 2)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(DecodeError::Framing);
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(line) = take_line(buffer, self.max_head)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// Takes a line without its CRLF; `None` while it is incomplete.
fn take_line(buffer: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, DecodeError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > most {
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

fn chunk_size(line: &[u8]) -> Result<usize, DecodeError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // Eight digits are 4 GB, far above any body limit.
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(DecodeError::Framing);
    }
    let text = std::str::from_utf8(digits).map_err(|_| DecodeError::Framing)?;
    usize::from_str_radix(text, 16).map_err(|_| DecodeError::Framing)
}

fn span(buffer: &[u8], part: &[u8]) -> Span {
    let from = part.as_ptr() as usize - buffer.as_ptr() as usize;
    Span {
        from: from as u32,
        to: (from + part.len()) as u32,
    }
}

fn spans(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
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

const NO_SPAN: Span = Span { from: 0, to: 0 };

fn parse_request(buffer: &[u8]) -> Result<Option<(usize, Head)>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
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
                fields: spans(buffer, request.headers),
                status: 0,
                is_http11: request.version == Some(1),
                framing: Framing::Empty,
                close: false,
            };
            Ok(Some((length, head)))
        }
    }
}

fn parse_answer(buffer: &[u8]) -> Result<Option<(usize, Head)>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(buffer) {
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(DecodeError::Head),
        Ok(httparse::Status::Complete(length)) => {
            let head = Head {
                raw: Bytes::new(),
                method: NO_SPAN,
                target: NO_SPAN,
                fields: spans(buffer, answer.headers),
                status: answer.code.ok_or(DecodeError::Head)?,
                is_http11: answer.version == Some(1),
                framing: Framing::Empty,
                close: false,
            };
            Ok(Some((length, head)))
        }
    }
}

fn framing(head: &Head, side: MessageKind) -> Result<Framing, DecodeError> {
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
    let bodiless = side == MessageKind::Response && matches!(head.status, 100..=199 | 204 | 304);
    Ok(match (bodiless, chunked, length, side) {
        (true, ..) => Framing::Empty,
        (_, true, ..) => Framing::Chunked,
        (_, _, Some(0), _) | (_, _, None, MessageKind::Request) => Framing::Empty,
        (_, _, Some(length), _) => Framing::Length(length),
        (_, _, None, MessageKind::Response) => Framing::UntilClose,
    })
}

fn closes(head: &Head) -> bool {
    let listed = |word: &str| {
        head.fields().any(|(name, value)| {
            name.eq_ignore_ascii_case(b"connection")
                && value
                    .split(|byte| *byte == b',')
                    .any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    };
    if head.is_http11 {
        listed("close")
    } else {
        !listed("keep-alive")
    }
}
