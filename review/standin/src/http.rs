//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a message, and the bytes that were read after it.
#[derive(Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("Content-Length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads a head; `None` when the connection ends before one has begun.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, fields }));
            }
            let mut part = [0_u8; 16 << 10];
            let count = self.stream.read(&mut part)?;
            if count == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            self.ahead.extend_from_slice(&part[..count]);
        }
    }

    /// Reads some bytes of a body, `most` at most.
    pub fn part(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if !self.ahead.is_empty() {
            let count = most.min(self.ahead.len());
            return Ok(self.ahead.drain(..count).collect());
        }
        let mut part = vec![0_u8; most.min(64 << 10)];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        part.truncate(count);
        Ok(part)
    }

    /// Reads a body of a known length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(length.min(1 << 20));
        while body.len() < length {
            let part = self.part(length - body.len())?;
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Returns the value of a name in a query, with percent escapes decoded.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            first,
            hex.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = tail;
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8(bytes).ok()
}
