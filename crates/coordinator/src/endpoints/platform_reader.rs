//! Reads the platform's list over HTTP, page by page.

use super::platform_page::{self, PlatformPage};
use control_protocol::Backend;
use quick_error::quick_error;
use reqwest::{Client, StatusCode};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The time limit for opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for a page, connecting included.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How many pages are read at most, in case the platform's pages never end.
const MAX_PAGES: usize = 100;
/// How many pages are requested without a pause. The lists of small deployments have no more pages.
const UNPACED_PAGES: usize = 10;
/// The approximate number of entries that the platform puts on a page.
const ENTRIES_PER_PAGE: usize = 50;
/// The fraction of the platform's rate limit that reads may use.
const RATE_LIMIT_SHARE: f64 = 0.8;
/// How often a page is retried that the platform rejected because of its rate limit.
const MAX_RETRIES: usize = 4;
/// The pause before each of these retries.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The largest page that is accepted, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

quick_error! {
    /// Why the platform's list could not be read, with the page and the platform's address.
    #[derive(Debug)]
    pub enum ReadError {
        /// The request failed, or no complete response arrived in time.
        Http(page: usize, platform: SocketAddrV4, error: reqwest::Error) {
            display("page {page} of the list from {platform}: {}", with_causes(error))
            source(error)
        }
        /// The platform rejected the request because of its rate limit.
        RateLimited(page: usize, platform: SocketAddrV4) {
            display("page {page} of the list from {platform}: rate limit exceeded (status 429)")
        }
        /// The response has a status other than 200 OK.
        Status(page: usize, platform: SocketAddrV4, status: StatusCode) {
            display("page {page} of the list from {platform}: status {status}, expected 200 OK")
        }
        /// The response is larger than a page may be.
        TooLarge(page: usize, platform: SocketAddrV4) {
            display("page {page} of the list from {platform}: more than {MAX_PAGE_BYTES} bytes")
        }
        /// The list has more pages than are read.
        TooManyPages(page: usize, platform: SocketAddrV4) {
            display("list from {platform}: more than {page} pages")
        }
        /// The body of the response is not JSON, or lacks the fields of a page.
        Invalid(page: usize, platform: SocketAddrV4, error: serde_json::Error) {
            display("page {page} of the list from {platform}: invalid JSON or fields: {error}")
            source(error)
        }
    }
}

/// The text of an error, followed by those of its causes.
fn with_causes(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// Reads the list of backends from one platform's API, page by page.
#[derive(Debug)]
pub struct PlatformReader {
    client: Client,
    platform: SocketAddrV4,
    /// The pause between requests that keeps reads within their share of the platform's rate limit.
    pause: Duration,
}

impl PlatformReader {
    /// Creates a reader, without opening a connection. `rate_per_s` is the platform's rate limit in requests
    /// per second; 0 if there is none. Fails if the HTTP stack can't be set up.
    pub fn new(platform: SocketAddrV4, rate_per_s: f64) -> Result<Self, reqwest::Error> {
        let rate = rate_per_s * RATE_LIMIT_SHARE;
        let pause = if rate > 0.0 { Duration::from_secs_f64(1.0 / rate.max(1.0)) } else { Duration::ZERO };
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(PAGE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(PlatformReader { client, platform, pause })
    }

    /// The shortest interval at which a list with this number of endpoints can be read within the platform's
    /// rate limit.
    pub fn min_interval(&self, endpoints: usize) -> Duration {
        self.pause * (endpoints.div_ceil(ENTRIES_PER_PAGE) as u32)
    }

    /// Reads all pages. Invalid entries are skipped, and logged at debug level.
    pub async fn read(&self) -> Result<Vec<Backend>, ReadError> {
        let mut endpoints = Vec::new();
        let mut token = None;
        for number in 1..=MAX_PAGES {
            if number > UNPACED_PAGES {
                tokio::time::sleep(self.pause).await;
            }
            let page = self.page_with_retries(number, token.as_deref()).await?;
            endpoints.extend(page.endpoints);
            if page.skipped > 0 {
                let error = page.first_error.unwrap_or_default();
                log::debug!("page {number} of the list: skipped {} invalid entries: {error}", page.skipped);
            }
            match page.next_page_token {
                Some(next) if !next.is_empty() => token = Some(next),
                _ => return Ok(endpoints),
            }
        }
        Err(ReadError::TooManyPages(MAX_PAGES, self.platform))
    }

    /// Reads a page, and retries it while the platform's rate limit is exceeded. The first page is not
    /// retried, because nothing is lost if the whole read is repeated later.
    async fn page_with_retries(&self, number: usize, token: Option<&str>) -> Result<PlatformPage, ReadError> {
        let mut retries = if number == 1 { 0 } else { MAX_RETRIES };
        loop {
            match self.page(number, token).await {
                Err(ReadError::RateLimited(..)) if retries > 0 => tokio::time::sleep(RETRY_DELAY).await,
                result => return result,
            }
            retries -= 1;
        }
    }

    async fn page(&self, number: usize, token: Option<&str>) -> Result<PlatformPage, ReadError> {
        let failed = |error| ReadError::Http(number, self.platform, error);
        let mut response = self.client.get(self.url(token)).send().await.map_err(failed)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(ReadError::RateLimited(number, self.platform)),
            status => return Err(ReadError::Status(number, self.platform, status)),
        }
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(failed)? {
            if body.len() + chunk.len() > MAX_PAGE_BYTES {
                return Err(ReadError::TooLarge(number, self.platform));
            }
            body.extend_from_slice(&chunk);
        }
        platform_page::parse_page(&body).map_err(|error| ReadError::Invalid(number, self.platform, error))
    }

    fn url(&self, token: Option<&str>) -> String {
        let platform = self.platform;
        match token {
            Some(token) => format!("http://{platform}/instances?page_token={}", percent_encode(token)),
            None => format!("http://{platform}/instances"),
        }
    }
}

/// Percent-encodes a query value: all but the unreserved characters (RFC 3986, section 2.3).
fn percent_encode(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            text.push(byte as char);
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}
