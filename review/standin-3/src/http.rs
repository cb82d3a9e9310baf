//! HTTP/1.1 with blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line without its end.
    pub line: String,
    /// Header fields in order, with lower-case names.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a field; the name is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the stated length of the body.
    pub fn length(&self) -> usize {
        let text = self.field("content-length");
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message with a stated length, or without a body; `None` at the end of the stream.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    message.body = vec![0; message.length()];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a message without its body; `None` at the end of the stream.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line.truncate(message.line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.fields.push(field);
    }
    Ok(Some(message))
}

/// Writes a message with its length.
pub fn write(
    stream: &mut TcpStream,
    line: &str,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut stream, line, fields, body)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
