//! HTTP/1.1 over plain streams, as far as the parties of a soak need it. Each party controls when
//! it sends and reads which bytes, and when it closes the connection.

use std::io;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;

/// Longest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a numeric header.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the status of an answer, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.word(1)
    }

    fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns whether the sender closes the connection after the message.
    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

/// How fast a reader takes a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadMode {
    /// Reads the body as it arrives.
    Immediate,
    /// Reads chunks of `chunk_bytes`, each after a pause of `pause_ms`.
    Slow { chunk_bytes: usize, pause_ms: u64 },
}

/// A connection with a read buffer.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Creates a connection over a stream.
    pub fn new(stream: TcpStream) -> Connection {
        Connection(BufReader::new(stream))
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes).await
    }

    /// Reads a complete message, or returns `None` if the connection ends before one begins.
    pub async fn read(&mut self, read_mode: ReadMode) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut head_bytes = 0;
        loop {
            let mut line = String::new();
            let count = self.0.read_line(&mut line).await?;
            head_bytes += count;
            if count == 0 {
                let is_clean = head_bytes == 0;
                return if is_clean { Ok(None) } else { Err(unexpected_eof()) };
            }
            if head_bytes > MAX_HEAD_BYTES {
                return Err(io::Error::other("the message head is too long"));
            }
            let line = line.trim_end();
            match line.split_once(':') {
                _ if line.is_empty() && message.start_line.is_empty() => {}
                _ if line.is_empty() => break,
                _ if message.start_line.is_empty() => message.start_line = line.into(),
                Some((name, value)) => {
                    let name = name.to_ascii_lowercase();
                    message.headers.push((name, value.trim().into()));
                }
                None => return Err(io::Error::other("a header line has no colon")),
            }
        }
        let length = message.number("content-length").unwrap_or(0);
        self.read_body(&mut message.body, length as usize, read_mode)
            .await?;
        Ok(Some(message))
    }

    async fn read_body(&mut self, body: &mut Vec<u8>, length: usize, read_mode: ReadMode) -> io::Result<()> {
        while body.len() < length {
            let mut read_bytes = length - body.len();
            if let ReadMode::Slow {
                chunk_bytes,
                pause_ms,
            } = read_mode
            {
                read_bytes = read_bytes.min(chunk_bytes);
                actix_rt::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            }
            let filled = body.len();
            body.resize(filled + read_bytes, 0);
            self.0.read_exact(&mut body[filled..]).await?;
        }
        Ok(())
    }
}

fn unexpected_eof() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection ends within a message",
    )
}

/// Encodes an answer with these headers, each of which ends with a line break.
pub fn encode_answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
