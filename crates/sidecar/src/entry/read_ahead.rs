//! A caller's connection that is also read while the HTTP server is not reading it, so that its end
//! is noticed while a request is served and pipelined requests are seen early.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::entry::connections::Connection;
use crate::guard::HeldMemory;

/// Nothing more is read ahead once this many bytes are buffered.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The longest single read. Also the steps in which memory is taken.
const READ_BYTES: usize = 16 * 1024;

/// How often a connection without memory to read ahead asks for it again.
const ROOM_CHECK: Duration = Duration::from_millis(50);

/// Receives the bytes of a connection as they arrive.
type Observer = dyn Fn(&[u8]);

struct Shared {
    stream: TcpStream,
    /// Bytes that were read and that the HTTP server has not taken yet.
    buffer: RefCell<BytesMut>,
    /// Notified when the HTTP server takes bytes from the buffer.
    taken: Notify,
    observer: Box<Observer>,
    /// Told of the bytes that the caller takes.
    connection: Rc<Connection>,
    /// The memory of `buffer`.
    held: RefCell<HeldMemory>,
}

/// A connection that can be read ahead in the background. Clones share it.
#[derive(Clone)]
pub struct ReadAheadStream {
    shared: Rc<Shared>,
}

impl ReadAheadStream {
    /// Wraps a connection. `observer` is called with all its bytes once, in order.
    pub fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        memory: HeldMemory,
        observer: impl Fn(&[u8]) + 'static,
    ) -> ReadAheadStream {
        let shared = Shared {
            stream,
            buffer: RefCell::default(),
            taken: Notify::new(),
            observer: Box::new(observer),
            connection,
            held: RefCell::new(memory),
        };
        ReadAheadStream { shared: Rc::new(shared) }
    }

    /// Reads into the buffer until the caller closes the connection or it fails.
    pub async fn read_until_closed(&self) {
        let Shared { stream, buffer, taken, observer, .. } = &*self.shared;
        loop {
            if buffer.borrow().len() >= MAX_BUFFERED_BYTES {
                taken.notified().await;
                continue;
            }
            if stream.readable().await.is_err() {
                return;
            }
            if !self.has_room() {
                // The rest stays in the kernel, also the end of the connection.
                tokio::time::sleep(ROOM_CHECK).await;
                continue;
            }
            let mut bytes = [0; READ_BYTES];
            match stream.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(count) => {
                    buffer.borrow_mut().extend_from_slice(&bytes[..count]);
                    observer(&bytes[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.free_if_empty(),
                Err(_) => return,
            }
        }
    }

    /// Frees the buffer and gives back its memory if the HTTP server has taken all of it.
    fn free_if_empty(&self) {
        let mut buffer = self.shared.buffer.borrow_mut();
        if buffer.is_empty() {
            *buffer = BytesMut::new();
            self.shared.held.borrow_mut().shrink(0);
        }
    }

    /// Takes the memory of one more read. Returns false if there is none left.
    fn has_room(&self) -> bool {
        let needed = self.shared.buffer.borrow().len() + READ_BYTES;
        let mut held = self.shared.held.borrow_mut();
        let missing = needed.saturating_sub(held.bytes());
        missing == 0 || held.add(missing)
    }

    /// Reads and discards until the caller closes the connection or it fails.
    pub async fn discard_until_closed(&self) {
        let mut bytes = [0; READ_BYTES];
        while self.shared.stream.readable().await.is_ok() {
            match self.shared.stream.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Shared { stream, buffer, taken, observer, .. } = &*self.shared;
        let mut buffer = buffer.borrow_mut();
        if !buffer.is_empty() {
            let count = buffer.len().min(out.remaining());
            out.put_slice(&buffer[..count]);
            buffer.advance(count);
            drop(buffer);
            self.free_if_empty();
            taken.notify_one();
            return Poll::Ready(Ok(()));
        }
        drop(buffer);
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(out.initialize_unfilled()) {
                Ok(count) => {
                    out.advance(count);
                    observer(&out.filled()[out.filled().len() - count..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Shared { stream, connection, .. } = &*self.shared;
        loop {
            if stream.poll_write_ready(context)?.is_pending() {
                connection.set_blocked();
                return Poll::Pending;
            }
            match stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(count) => {
                    connection.sent(count);
                    return Poll::Ready(Ok(count));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&self.shared.stream);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}
