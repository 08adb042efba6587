//! A caller's connection that is read ahead of the HTTP server: so its end is noticed while a
//! request is served, and requests that were sent ahead are seen.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes that are read ahead, at most.
const AHEAD_BYTES: usize = 64 * 1024;
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Looks at the bytes of a connection as they come in.
type Look = dyn Fn(&[u8]);

struct Shared {
    stream: TcpStream,
    /// Read and not yet taken by the server.
    ahead: RefCell<BytesMut>,
    /// Told when the server has taken what was read ahead.
    taken: Notify,
    look: Box<Look>,
}

/// A connection that can be watched beside being read and written.
#[derive(Clone)]
pub struct Socket {
    shared: Rc<Shared>,
}

impl Socket {
    /// Wraps a connection. `look` sees its bytes once, in order.
    pub fn new(stream: TcpStream, look: impl Fn(&[u8]) + 'static) -> Socket {
        let ahead = RefCell::default();
        let shared = Shared { stream, ahead, taken: Notify::new(), look: Box::new(look) };
        Socket { shared: Rc::new(shared) }
    }

    /// Reads ahead until the caller closes the connection.
    pub async fn closed(&self) {
        let Shared { stream, ahead, taken, look } = &*self.shared;
        loop {
            if ahead.borrow().len() >= AHEAD_BYTES {
                taken.notified().await;
                continue;
            }
            if stream.readable().await.is_err() {
                return;
            }
            let mut bytes = [0; READ_BYTES];
            match stream.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(count) => {
                    ahead.borrow_mut().extend_from_slice(&bytes[..count]);
                    look(&bytes[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Reads and discards until the caller closes the connection.
    pub async fn discard(&self) {
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

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Shared { stream, ahead, taken, look } = &*self.shared;
        let mut ahead = ahead.borrow_mut();
        if !ahead.is_empty() {
            let count = ahead.len().min(out.remaining());
            out.put_slice(&ahead[..count]);
            ahead.advance(count);
            taken.notify_one();
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(out.initialize_unfilled()) {
                Ok(count) => {
                    out.advance(count);
                    look(&out.filled()[out.filled().len() - count..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
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
        let stream = &self.shared.stream;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
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
