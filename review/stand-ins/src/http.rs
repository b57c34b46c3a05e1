//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages off one connection.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Reader<'a> {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Bytes that have been read and not taken.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more; `false` at the end.
    fn fill(&mut self) -> Result<bool> {
        let mut part = [0; 16 * 1024];
        let read = (&mut self.stream).read(&mut part)?;
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    fn cut_off<T>() -> Result<T> {
        Err(Error::new(
            ErrorKind::UnexpectedEof,
            "the connection ended inside a message",
        ))
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Self::cut_off();
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Self::cut_off();
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The head of the next message; `None` if the connection ended before one began.
    pub fn head(&mut self) -> Result<Option<Message>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    /// The body that belongs to a head.
    pub fn body(&mut self, head: &Message) -> Result<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .is_some_and(|t| t.contains("chunked"))
        {
            let mut whole = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| Error::new(ErrorKind::InvalidData, "no size of a chunk"))?;
                whole.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(whole);
                }
            }
        }
        match head.header("content-length").and_then(|l| l.parse().ok()) {
            Some(length) => self.take(length),
            None => Ok(Vec::new()),
        }
    }

    /// The next whole message; `None` if the connection ended before one began.
    pub fn message(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        message.body = self.body(&message)?;
        Ok(Some(message))
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own; silence for longer than `silence` ends it.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    silence: Duration,
) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&to.into(), silence)?;
    stream.set_read_timeout(Some(silence))?;
    stream.set_nodelay(true)?;
    let host = if headers.contains("Host:") {
        String::new()
    } else {
        format!("Host: {to}\r\n")
    };
    let length = if method == "POST" {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n{host}{headers}{length}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let answer = Reader::new(&stream).message()?;
    answer.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed without an answer"))
}

/// The value of a whole number in a JSON object.
pub fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The value of a text in a JSON object.
pub fn json_text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body
        .split_once(&format!("\"{name}\":"))?
        .1
        .trim_start()
        .strip_prefix('"')?;
    rest.split('"').next()
}
