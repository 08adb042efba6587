//! The least that a hop can cost: a process that copies bytes between two TCP connections.

use std::net::SocketAddr;

use gumdrop::Options;
use tokio::net::{TcpListener, TcpStream};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "where to listen", no_short, required)]
    address: Option<SocketAddr>,
    #[options(help = "where to", no_short, required)]
    to: Option<SocketAddr>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse_args_default_or_exit();
    let (Some(address), Some(to)) = (args.address, args.to) else { return Ok(()) };
    let listener = TcpListener::bind(address).await?;
    loop {
        let (mut caller, _) = listener.accept().await?;
        tokio::spawn(async move {
            let mut target = TcpStream::connect(to).await?;
            caller.set_nodelay(true)?;
            target.set_nodelay(true)?;
            tokio::io::copy_bidirectional(&mut caller, &mut target).await
        });
    }
}
