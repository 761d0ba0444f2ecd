import known_red


def pytest_configure(config):
    known_red.configure(config)
