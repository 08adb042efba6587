//! Pages of nodes that do not end.

use std::net::Ipv4Addr;
use std::process::Stdio;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bamboowheelctl");
/// More than the longest page and what the sockets hold.
const MAX_SENT: usize = 64 * 1024 * 1024;

// Guards against a page without end that is kept whole until the memory is used up.
#[tokio::test]
async fn a_page_without_end_is_given_up() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let block = vec![b' '; 64 * 1024];
        let mut sent = 0;
        let mut result = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while result.is_ok() && sent <= MAX_SENT {
            result = stream.write_all(&block).await;
            sent += block.len();
        }
        sent
    });
    let mut program = Command::new(PROGRAM);
    let program = program.args(["status", &address]).stdout(Stdio::null());
    let output = program.stderr(Stdio::piped()).kill_on_drop(true).output().await.unwrap();
    let sent = sending.await.unwrap();
    assert!(sent <= MAX_SENT, "{sent} bytes were read");
    assert_eq!(output.status.code(), Some(23), "{}", String::from_utf8_lossy(&output.stderr));
}
