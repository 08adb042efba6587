//! The platform's table as a process: `table --address IP:PORT`.

use std::net::SocketAddr;

use gumdrop::Options;
use testkit::table::Table;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "where the table is served", no_short, required)]
    address: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse_args_default_or_exit();
    let address = args.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8001)));
    let _server = Table::default().serve(address).await?;
    std::future::pending().await
}
