//! HTTP/1.1 messages on a blocking connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "closed by the peer")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads once more; returns whether the peer has not closed the connection.
    fn read_more(&mut self) -> io::Result<bool> {
        let mut bytes = [0; READ_BYTES];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.read_more()? {
                return Err(ended());
            }
        }
    }

    /// Reads a head; returns `None` if the peer closed the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        if self.buffer.is_empty() && !self.read_more()? {
            return Ok(None);
        }
        let mut head = Head {
            start: self.read_line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            head.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    /// Reads exactly this many bytes.
    pub fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.read_more()? {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the body that follows a head: chunked, or of the announced length.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_bytes(head.content_length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "not a chunk size"))?;
            body.extend(self.read_bytes(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the complete response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, timeout)?;
    connection.send(request)?;
    let head = connection.read_head()?.ok_or_else(ended)?;
    let body = connection.read_body(&head)?;
    Ok((head, body))
}
